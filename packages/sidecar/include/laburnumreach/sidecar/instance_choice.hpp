#ifndef LABURNUMREACH_SIDECAR_INSTANCE_CHOICE_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_CHOICE_HPP

#include <cstddef>
#include <optional>
#include <span>

namespace laburnumreach::sidecar
{

/// An instance that can take a call.
struct choice_candidate
{
    bool same_zone = false;
    double slots = 1;  ///< Usable slots.
    double load = 0;   ///< Calls that run, wait or were sent since the last report.
    double run_ms = 0; ///< Mean time of a run there; zero while unknown.
};

/// Settings of choose_instance.
struct choice_options
{
    /// Load per slot up to which an instance of the own zone is always preferred. Above it calls begin to
    /// wait for a slot there.
    double local_load_limit = 0.9;
    /// Load per slot by which an instance of another zone must be better, since the bytes that cross zones
    /// are paid for.
    double remote_margin = 0.15;
    /// Whether the margin holds also when all slots of the own zone are taken.
    bool large_body = false;
};

/// Settings for requests with large bodies, which stay in their zone until its instances have a long queue.
inline constexpr choice_options large_body_choice{
    .local_load_limit = 1.5, .remote_margin = 0.5, .large_body = true};

/// Chooses the instance for a call. Deterministic.
///
/// Load pattern: traffic is spread over the zones otherwise than capacity is, and one or two instances are
/// slower than the others, or so slow that no call ends there in time. The own zone serves what it can
/// without waiting; the rest goes where the least waiting is. A slow instance gets calls when the others have
/// a queue as long as its runs.
/// @returns the index of the chosen candidate; no value without candidates
std::optional<std::size_t> choose_instance(std::span<const choice_candidate> candidates,
                                           const choice_options& options);

} // namespace laburnumreach::sidecar

#endif
