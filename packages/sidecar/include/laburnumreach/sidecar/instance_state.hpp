#ifndef LABURNUMREACH_SIDECAR_INSTANCE_STATE_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_STATE_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/instance_departure.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// Heartbeat that an instance sends to its daemon.
struct instance_heartbeat
{
    std::string id;
    std::string address; ///< "ip:port".
    std::string service;
    std::uint32_t slots = 0; ///< Maximum number of concurrent requests.
    bool draining = false;
    std::uint64_t sequence = 0;   ///< Increases with each heartbeat of one incarnation.
    std::uint64_t started_ms = 0; ///< Wall-clock start time of the incarnation; orders incarnations. Zero if
                                  ///< unknown.
    core::duration warm_up_left{};
    core::time_point received{}; ///< Earliest time at which the daemon may have got it.
};

/// Whether an earlier process of the daemon may have talked to the instance.
enum class instance_history : std::uint8_t
{
    complete, ///< There was no earlier process, so this one knows all that was acknowledged to instances.
    partial,  ///< An earlier process may have acknowledged that the instance leaves.
};

/// State of the local instance, derived from its heartbeats, its deregistration and its answers to health
/// checks. Deterministic.
///
/// Only this daemon sends requests to the instance, so it alone decides whether the instance gets new work.
/// An acknowledged departure binds every later process of the daemon, which is told of it by whoever keeps
/// it. An incarnation whose departure is known gets no work again, whatever health checks tell. Beyond that,
/// a heartbeat may be late, so it gives work to an incarnation only if that started after one that this
/// process knew as not leaving; any other one is a claim, which the instance's own answer to a health check
/// confirms.
class instance_state
{
public:
    struct options
    {
        std::string address; ///< "ip:port" of the instance on this VM; other heartbeats are ignored.
        instance_history history = instance_history::complete;
        core::time_point process_start{};
    };

    /// @param local_address "ip:port" of the instance on this VM; heartbeats from other addresses are ignored
    explicit instance_state(std::string local_address)
        : instance_state(options{.address = std::move(local_address)})
    {
    }

    explicit instance_state(options settings);

    /// Applies a heartbeat.
    /// @returns whether the incarnation, service, number of slots or leaving state changed
    bool apply(const instance_heartbeat& heartbeat);

    /// Applies a deregistration: the instance gets no more new work.
    /// @param unix_ms time of day; incarnations that start later are not concerned. Zero if unknown: then a
    ///        health check tells whether a later one is.
    /// @returns whether the current instance leaves from now on; false if it was leaving already, or if the
    ///          id names another one
    bool deregister(std::string_view id, core::time_point now = {}, std::uint64_t unix_ms = 0);

    /// Applies a departure that an earlier process of the daemon acknowledged.
    /// @returns whether the current instance leaves from now on
    bool recall(const instance_departure& departure);

    /// Returns the latest start of an incarnation with this id that leaves, or that may leave without having
    /// told its start.
    /// @returns zero if none is known
    std::uint64_t last_departed_start(std::string_view id) const;

    /// Applies the instance's answer to a health check that was sent after the last announced departure: the
    /// instance is healthy and not leaving.
    /// @param answer what the answer tells; started_ms and sequence are zero, and so are the slots if the
    ///        instance does not tell its load
    /// @returns whether the incarnation, service, number of slots or leaving state changed
    bool confirm(const instance_heartbeat& answer);

    /// Returns whether a health check is needed to tell which instance runs, and whether it leaves.
    bool needs_check() const noexcept { return !this->current || this->claim; }

    /// Returns the last heartbeat that a health check must confirm; none if there is no such doubt.
    const std::optional<instance_heartbeat>& unconfirmed() const noexcept { return this->claim; }

    /// Returns whether an instance is known and accepts new work.
    bool accepts_work() const noexcept { return this->current.has_value() && !this->leaving; }

    /// Returns the last heartbeat of the current incarnation.
    const std::optional<instance_heartbeat>& instance() const noexcept { return this->current; }

    bool is_leaving() const noexcept { return this->leaving; }

    /// Time after which no heartbeat is expected to arrive any more. A later one was sent after what it
    /// contradicts, and is believed without a health check: health checks may fail for other reasons.
    static constexpr core::duration max_heartbeat_delay = std::chrono::seconds{10};

private:
    /// How the incarnation of a heartbeat relates to the current one.
    enum class relation : std::uint8_t
    {
        same,
        earlier,
        later,
        unordered, ///< Other ids, and the order is unknown.
    };

    relation compare(const instance_heartbeat& heartbeat) const;
    bool apply_same(const instance_heartbeat& heartbeat);
    bool contest(const instance_heartbeat& heartbeat);
    bool adopt(const instance_heartbeat& incarnation, bool is_leaving);
    /// What is known of the departure of instances with one id.
    struct departed_instance
    {
        instance_departure departure;
        /// Whether later incarnations may have been meant too, until a health check tells otherwise.
        bool may_include_later = false;
    };

    const departed_instance* find_departed(std::string_view id) const;
    bool may_have_departed(const instance_heartbeat& heartbeat) const;
    bool has_departed(const instance_heartbeat& heartbeat) const;
    void record_departure(const departed_instance& added);

    options settings;
    std::optional<instance_heartbeat> current;
    bool leaving = false;
    /// A heartbeat that may be late, or may come from another incarnation than the running one.
    std::optional<instance_heartbeat> claim;
    /// Id of an instance that answered a health check after the last announced departure, but sent no
    /// heartbeat yet; empty for none.
    std::string confirmed_id;
    /// Whether this process has known an incarnation that was not leaving. Later ones then started during its
    /// own lifetime.
    bool knew_working_instance;
    core::time_point doubt_since{}; ///< Time of the last event that a claim contradicts.
    /// Whether the current incarnation sent a ready heartbeat after all that earlier processes acknowledged.
    bool current_is_proven = false;
    /// Start time of another incarnation under the id of the current one, with an earlier start, that sent a
    /// ready heartbeat since the last one of the current incarnation; zero for none.
    std::uint64_t heard_earlier_start = 0;
    std::vector<departed_instance> departed;
};

} // namespace laburnumreach::sidecar

#endif
