#ifndef LABURNUMREACH_SIDECAR_DEPARTURE_REGISTER_HPP
#define LABURNUMREACH_SIDECAR_DEPARTURE_REGISTER_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/instance_departure.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnumreach::sidecar
{

/// Who can keep a departure beyond the end of this process.
struct departure_holders
{
    std::size_t known = 0;     ///< Other daemons of the fleet, and the store if it works.
    std::size_t reachable = 0; ///< Those that can be told now.
};

/// Whether a departure may be acknowledged to the instance.
enum class departure_outcome : std::uint8_t
{
    pending,  ///< Not yet: the holders have been told, and their confirmation is awaited.
    recorded, ///< Yes: it binds the next process too. Also if this daemon is the only one and has no store.
    failed,   ///< No: nobody confirmed it in time, so the instance has to announce it again.
};

/// Departures of the instances beside this daemon, and which other daemons and stores hold them.
/// Deterministic.
///
/// An acknowledged departure binds every later process of this daemon. Nothing on the VM outlives a process,
/// so it is acknowledged only when others have confirmed that they hold it.
class departure_register
{
public:
    /// Adds a departure.
    /// @returns the revision with which it is recorded
    std::uint64_t add(const instance_departure& departure);

    /// Removes the departures of an instance that works again.
    /// @returns whether there were any
    bool withdraw(std::string_view instance_id);

    /// Records that a holder has confirmed all changes up to a revision.
    void confirm(const std::string& holder, std::uint64_t confirmed_revision);

    /// Decides whether a departure is acknowledged.
    /// @param recorded_revision result of add()
    /// @param waited time since its announcement
    departure_outcome outcome(std::uint64_t recorded_revision, core::duration waited,
                              const departure_holders& holders) const;

    /// Returns the number of the last change; zero before the first one.
    std::uint64_t revision() const noexcept { return this->last_revision; }

    std::vector<instance_departure> departures() const;

    /// Returns the ids of the instances whose departures were removed last.
    std::span<const std::string> withdrawn() const { return this->withdrawn_ids; }

    /// Longest wait for confirmations. An acknowledgement must arrive within a second.
    static constexpr core::duration confirmation_time = std::chrono::milliseconds{700};
    /// Number of holders that suffices: one of them may end together with this process.
    static constexpr std::size_t wanted_holders = 2;

private:
    struct entry
    {
        instance_departure departure;
        std::uint64_t revision = 0; ///< With which it was added or changed last.
    };

    std::vector<entry> entries;
    std::vector<std::string> withdrawn_ids;
    std::unordered_map<std::string, std::uint64_t> confirmed; ///< Revision by holder.
    std::uint64_t last_revision = 0;
};

} // namespace laburnumreach::sidecar

#endif
