#ifndef LABURNUMREACH_STANDIN_ANNOUNCER_HPP
#define LABURNUMREACH_STANDIN_ANNOUNCER_HPP

#include "laburnumreach/core/posix_thread.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/standin/local_client.hpp"
#include "laburnumreach/standin/loopback_address.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace laburnumreach::standin
{

/// Repeats the announcement of an upstream at its daemon (design page, section 4).
class announcer
{
public:
    /// @param body returns the JSON text of the next announcement, or no value to leave it out
    announcer(const loopback_address& daemon, core::duration interval,
              std::function<std::optional<std::string>()> body);
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;

    /// Calls stop.
    ~announcer();

    /// Starts to announce.
    void start();

    /// Announces at once, for example after a change of state.
    void announce_now();

    /// Ends the announcements.
    void stop();

private:
    void run();

    const core::duration interval;
    const std::function<std::optional<std::string>()> next_body;
    local_client client;
    std::mutex mutex;
    std::condition_variable changed;
    bool urgent = false;
    bool stopping = false;
    core::posix_thread thread;
};

} // namespace laburnumreach::standin

#endif
