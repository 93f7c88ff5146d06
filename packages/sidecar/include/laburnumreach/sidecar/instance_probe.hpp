#ifndef LABURNUMREACH_SIDECAR_INSTANCE_PROBE_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_PROBE_HPP

#include "laburnumreach/sidecar/header_names.hpp"
#include "laburnumreach/sidecar/instance_connection.hpp"
#include "laburnumreach/sidecar/instance_state.hpp"

#include <functional>
#include <memory>

namespace laburnumreach::sidecar
{

/// Finds the instance on this VM by a health check after a restart of the daemon, instead of waiting for the
/// instance's next heartbeat.
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

    /// Sends a health check, up to max_attempts times. Call it while the instance is unknown.
    /// @param health_path path of the check; empty while unknown
    void run_if_due(const std::string& health_path, core::time_point now);

private:
    void on_result(const instance_result& result);

    /// Limited since health checks have a cost and heartbeats arrive anyway.
    static constexpr int max_attempts = 2;
    static constexpr core::duration retry_interval = std::chrono::milliseconds{700};

    asio::io_context& io;
    options settings;
    found_handler on_found;
    std::shared_ptr<instance_connection> connection;
    int attempts = 0;
    core::time_point last_attempt{};
};

} // namespace laburnumreach::sidecar

#endif
