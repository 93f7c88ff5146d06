#ifndef LABURNUMREACH_STANDIN_PLATFORM_STANDIN_HPP
#define LABURNUMREACH_STANDIN_PLATFORM_STANDIN_HPP

#include "laburnumreach/standin/call_rate.hpp"
#include "laburnumreach/standin/controlled_server.hpp"
#include "laburnumreach/standin/object_store.hpp"
#include "laburnumreach/standin/platform_faults.hpp"
#include "laburnumreach/standin/platform_statistics.hpp"

#include <cstdint>
#include <mutex>
#include <string>

namespace laburnumreach::standin
{

/// Settings of a platform_standin.
struct platform_standin_options
{
    controlled_server_options server{};
    double writes_per_second = 400.0;
    double reads_per_second = 2000.0;
    std::size_t most_value_bytes = 1024 * 1024;
    std::uint64_t seed = 1; ///< For faults with a probability.
};

/// Stand-in for the platform's object API (design page, section 11) with faults that are set at run time.
///
/// POST /control/faults replaces the faults (see platform_faults), GET /control/stats returns the call counts
/// and GET /control/history?name=<name> the accepted writes of an object.
class platform_standin
{
public:
    explicit platform_standin(const platform_standin_options& settings);

    /// Starts to listen.
    core::result<void> start() { return this->server.start(); }

    /// Ends all calls, including waiting watches.
    void stop() { this->server.stop(); }

    /// Returns the port of the object API.
    std::uint16_t port() const { return this->server.main().port(); }

    /// Returns the line that tells the ports.
    std::string ready_line() const { return this->server.ready_line(); }

private:
    struct call;

    void handle(const httplib::Request& request, const std::string& path, httplib::Response& response,
                connection& caller);
    void handle_control(const httplib::Request& request, const std::string& path,
                        httplib::Response& response);
    void set_faults(const std::string& text, httplib::Response& response);
    void list_history(const std::string& name, httplib::Response& response) const;
    void handle_object(call& current);
    bool within_rate(bool write);
    bool breaks_off(call& current);
    void read(call& current);
    void list(call& current);
    void watch(call& current);
    void write(call& current);
    void remove(call& current);
    void lose_answer(call& current);

    const platform_standin_options options;
    object_store objects;
    platform_faults faults;
    platform_statistics statistics;
    std::mutex rate_mutex;
    call_rate write_rate;
    call_rate read_rate;
    controlled_server server;
};

} // namespace laburnumreach::standin

#endif
