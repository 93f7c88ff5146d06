#ifndef LABURNUMREACH_DAEMON_EXCHANGE_WATCH_HPP
#define LABURNUMREACH_DAEMON_EXCHANGE_WATCH_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/http/cancellation.hpp"

#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>

namespace laburnumreach::daemon
{

/// Settings of an exchange_watch.
struct exchange_watch_options
{
    /// A connection is not taken for silent before this time.
    core::duration quiet_limit = std::chrono::seconds{2};
    /// A quiet exchange also has to take this many times the usual latency of its kind.
    double latency_factor = 3.0;
    /// Exchanges of the same kind that started later and were answered.
    std::uint32_t overtaken_by = 3;
};

/// Finds exchanges whose connection went silent while others to the same destination are answered.
///
/// A slow destination must not be taken for a silent connection, because giving up wastes the work and makes
/// the outcome of a non-idempotent request unknown. So an exchange counts as silent only when later ones of
/// its kind were answered meanwhile. Thread safe.
class exchange_watch
{
public:
    explicit exchange_watch(const exchange_watch_options& watch = {}) : options(watch) {}

    /// A running exchange; ends when this object is destroyed.
    class observation
    {
    public:
        /// @param kind destination and route, whose exchanges are compared
        observation(exchange_watch& owner, std::string kind, http::cancellation& control,
                    core::time_point now);
        observation(const observation&) = delete;
        observation& operator=(const observation&) = delete;
        ~observation();

        /// Records a whole answer.
        void answered(core::time_point now);

        /// Returns whether the exchange was cancelled because its connection is silent.
        bool silent() const noexcept { return this->found_silent.load(); }

    private:
        friend class exchange_watch;

        exchange_watch& owner;
        std::string kind;
        http::cancellation& control;
        core::time_point started;
        std::uint64_t overtaken = 0; ///< Later exchanges of this kind that were answered.
        std::atomic<bool> found_silent{false};
        std::list<observation*>::iterator position;
    };

    /// Cancels the exchanges that are silent. Call it about every 100 ms.
    /// @returns the number of exchanges cancelled
    std::size_t cancel_silent(core::time_point now);

private:
    struct kind_state
    {
        std::list<observation*> running; ///< In order of their start.
        double usual_latency = 0.0;      ///< Nanoseconds, smoothed.
    };

    exchange_watch_options options;
    std::mutex mutex;
    /// The number of kinds is bounded by destinations times configured routes.
    std::map<std::string, kind_state> kinds;
};

} // namespace laburnumreach::daemon

#endif
