#ifndef LABURNUMREACH_STANDIN_PLATFORM_FAULTS_HPP
#define LABURNUMREACH_STANDIN_PLATFORM_FAULTS_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/core/random_source.hpp"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::standin
{

/// The faults that are switched on at the platform stand-in. Thread safe.
///
/// Text form: {"faults":[{"kind":..., "daemons":[...], "zones":[...], ...}]}. A fault without daemons and
/// zones applies to all callers, otherwise to the callers whose id or zone is listed.
class platform_faults
{
public:
    /// Who sends a request, from the headers Laburnum-Daemon and Laburnum-Zone.
    struct caller_identity
    {
        std::string daemon{};
        std::string zone{};
    };

    /// What a caller meets instead of an answer.
    enum class outage_mode : std::uint8_t
    {
        none,
        status, ///< 503
        close,  ///< The connection is closed without an answer.
        refuse, ///< New connections are refused and open ones are closed; applies to all callers.
    };

    explicit platform_faults(std::uint64_t seed) : random(seed) {}

    /// Replaces all faults.
    /// @returns invalid_argument, with nothing changed, when the text is not as described above
    core::result<void> replace(std::string_view text);

    /// Returns the outage that applies to the caller.
    outage_mode outage(const caller_identity& caller) const;

    /// Returns the time by which each answer to the caller is delayed.
    std::chrono::milliseconds delay(const caller_identity& caller) const;

    /// Returns by how many writes the reads of the caller lag behind.
    std::size_t versions_behind(const caller_identity& caller) const;

    /// Decides whether the answer to an accepted write is lost, and counts it.
    bool loses_write_answer(const caller_identity& caller);

    /// Decides whether a watch answers with an event that the caller has seen, and counts it.
    bool repeats_watch_event(const caller_identity& caller);

private:
    enum class kind : std::uint8_t
    {
        outage,
        slow,
        lose_write_answers,
        stale_reads,
        repeat_watch_events,
    };

    struct fault
    {
        kind what = kind::outage;
        std::vector<std::string> daemons{};
        std::vector<std::string> zones{};
        outage_mode mode = outage_mode::status;
        std::chrono::milliseconds delay{0};
        std::size_t versions_behind = 0;
        double probability = 1.0;
        std::optional<std::uint64_t> remaining{}; ///< No value: without bound.
    };

    static core::result<std::vector<fault>> parse(std::string_view text);
    const fault* find(kind what, const caller_identity& caller) const;
    bool happens(kind what, const caller_identity& caller);

    mutable std::mutex mutex;
    std::vector<fault> faults;
    core::random_source random;
};

} // namespace laburnumreach::standin

#endif
