#ifndef LABURNUMREACH_SIDECAR_INSTANCE_PROBE_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_PROBE_HPP

#include "laburnumreach/sidecar/header_names.hpp"
#include "laburnumreach/sidecar/instance_connection.hpp"
#include "laburnumreach/sidecar/instance_state.hpp"

#include <functional>
#include <memory>

namespace laburnumreach::sidecar
{

/// Asks the instance on this VM by health checks which incarnation runs. Only its own answer tells after a
/// restart of the daemon that the instance is not leaving, since a heartbeat may be late.
class instance_probe
{
public:
    struct options
    {
        tcp::endpoint address;
        std::string address_text; ///< Address in the form that the instance announces.
        std::string service;      ///< Service of the instance on this VM.
        header_names names;
    };

    using found_handler = std::function<void(const instance_heartbeat&)>;

    instance_probe(asio::io_context& context, options initial_settings, found_handler handler);

    /// Allows further health checks, for an instance that has just shown that it runs.
    /// @param at_once whether the next one is due now
    void rearm(bool at_once = false)
    {
        this->attempts = 0;
        this->last_attempt = at_once && this->connection == nullptr ? core::time_point{} : this->last_attempt;
    }

    /// Discards the answer to a check in progress, which the instance may have given before what it has told
    /// since.
    void cancel();

    /// Sends a health check if one is due, and ends one that takes too long. Call it every few milliseconds.
    /// @param wanted whether the answer is needed; at most max_attempts checks are sent until rearm()
    /// @param health_path path of the check; empty while unknown
    void tick(bool wanted, const std::string& health_path, core::time_point now);

private:
    void on_result(const instance_result& result);

    /// Limited since health checks have a cost and heartbeats arrive anyway.
    static constexpr int max_attempts = 2;
    static constexpr core::duration retry_interval = std::chrono::milliseconds{700};
    /// Longest time for an answer. A check waits for a slot like a request.
    static constexpr core::duration answer_timeout = std::chrono::seconds{2};
    /// The body of the answer is not used.
    static constexpr std::size_t max_answer_bytes = 64 * 1024;

    asio::io_context& io;
    options settings;
    found_handler on_found;
    std::shared_ptr<instance_connection> connection;
    int attempts = 0;
    core::time_point last_attempt{};
};

} // namespace laburnumreach::sidecar

#endif
