#ifndef LABURNUMREACH_STANDIN_UPSTREAM_STANDIN_HPP
#define LABURNUMREACH_STANDIN_UPSTREAM_STANDIN_HPP

#include "laburnumreach/standin/announcer.hpp"
#include "laburnumreach/standin/controlled_server.hpp"
#include "laburnumreach/standin/dependency_calls.hpp"
#include "laburnumreach/standin/execution_record.hpp"
#include "laburnumreach/standin/service_time.hpp"
#include "laburnumreach/standin/slot_queue.hpp"
#include "laburnumreach/standin/upstream_faults.hpp"

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace laburnumreach::standin
{

/// Settings of an upstream_standin.
struct upstream_standin_options
{
    controlled_server_options server{};
    std::optional<loopback_address>
        daemon{}; ///< Local listener of the daemon; none: no announcements or calls.
    std::string service = "service";
    std::string instance = "service-1";
    std::string zone = "a";
    std::size_t slots = 25; ///< Requests that run at the same time; further ones wait in order.
    std::vector<service_time_rule> service_times{};
    core::duration other_service_time = std::chrono::milliseconds{10};
    std::vector<slow_period> slow_periods{}; ///< For example the cold start.
    std::vector<dependency_rule> dependencies{};
    double work_before_calls = 0.5; ///< Share of the service time before the calls; the rest follows them.
    core::duration announce_interval = std::chrono::seconds{1};
    std::size_t answer_bytes = 0; ///< Size of answers without a parameter answer_bytes.
    std::vector<std::string> forbidden_texts{};
    std::uint64_t seed = 1;
};

/// Stand-in for one upstream of a service, with its own record of what ran and faults that are set at run
/// time.
///
/// POST /control/faults replaces the faults (see upstream_faults), GET /control/record returns the record
/// (see execution_record) with the occupancy of the slots, POST /control/reset clears the record, POST
/// /control/forbidden takes a JSON array of texts, and POST /control/drain {"draining":true|false} sets the
/// announced state.
class upstream_standin
{
public:
    explicit upstream_standin(const upstream_standin_options& settings);

    /// Starts to listen and to announce.
    core::result<void> start();

    /// Announces the state "draining" and waits until no request runs or waits.
    /// @param at_least time in which requests that are already on their way still arrive
    /// @param at_most bound of the whole wait
    void drain(core::duration at_least, core::duration at_most);

    /// Ends announcements and all requests.
    void stop();

    /// Returns the port for requests.
    std::uint16_t port() const { return this->server.main().port(); }

    /// Returns the line that tells the ports.
    std::string ready_line() const { return this->server.ready_line(); }

private:
    struct work;

    void handle(const httplib::Request& request, const std::string& path, httplib::Response& response,
                connection& caller);
    void handle_control(const httplib::Request& request, const std::string& path, httplib::Response& response,
                        const connection* caller);
    void set_faults(const std::string& text, httplib::Response& response, const connection* caller);
    void set_forbidden(const std::string& text, httplib::Response& response);
    void set_draining(const std::string& text, httplib::Response& response);
    std::string record_json() const;
    void inspect(const work& current);
    void run_in_slot(work& current);
    bool call_dependencies(work& current);
    void answer(work& current);
    void answer_damaged(work& current, const std::string& body);
    std::optional<std::string> announcement();
    double load() const;

    const upstream_standin_options options;
    const core::time_point started_at;
    service_time times;
    slot_queue slots;
    upstream_faults faults;
    execution_record record;
    std::optional<dependency_calls> dependencies;
    std::atomic<bool> draining = false;
    std::deque<double> past_loads; ///< Used by the announcer's thread only; the latest is the first.
    std::unique_ptr<announcer> announcements;
    controlled_server server;
};

} // namespace laburnumreach::standin

#endif
