#ifndef LABURNUMREACH_SIDECAR_INSTANCE_CHOICE_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_CHOICE_HPP

#include <cstddef>
#include <optional>
#include <span>

namespace laburnumreach::sidecar
{

/// An instance that can accept a call.
struct choice_candidate
{
    bool same_zone = false;
    double slots = 1;       ///< Usable slots.
    double load = 0;        ///< Calls that are running, queued or sent since the last status report.
    double mean_run_ms = 0; ///< Mean execution time of a call, in milliseconds; zero if unknown.
};

/// Settings of choose_instance.
struct choice_options
{
    /// Load per slot below which an instance of the local zone is always preferred. Above it, calls start to
    /// queue for a slot there.
    double local_load_limit = 0.9;
    /// Load per slot by which an instance of another zone must be better, since traffic between zones is
    /// charged by the byte.
    double remote_margin = 0.15;
    /// Whether the margin also applies when all slots of the local zone are busy.
    bool large_body = false;
};

/// Settings for requests with large bodies, which stay in the local zone until its instances have long
/// queues.
inline constexpr choice_options large_body_choice{
    .local_load_limit = 1.5, .remote_margin = 0.5, .large_body = true};

/// Chooses the instance for a call. Deterministic.
///
/// Load pattern: traffic is distributed over the zones differently from capacity, and one or two instances
/// are slower than the others, or so slow that no call finishes there before its deadline. The local zone
/// serves the calls that need not queue; the others go to the instance with the shortest expected wait. A
/// slow instance gets calls only when queueing at the others would take as long as its execution time.
/// @returns the index of the chosen candidate; no value without candidates
std::optional<std::size_t> choose_instance(std::span<const choice_candidate> candidates,
                                           const choice_options& options);

} // namespace laburnumreach::sidecar

#endif
