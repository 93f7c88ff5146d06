#ifndef LABURNUMREACH_OVERLOAD_DESTINATION_HPP
#define LABURNUMREACH_OVERLOAD_DESTINATION_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/core/reason.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/admission_gate.hpp"
#include "laburnumreach/overload/instance_selector.hpp"
#include "laburnumreach/overload/load_feedback.hpp"
#include "laburnumreach/overload/retry_budget.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace laburnumreach::overload
{

/// Number that the application assigns to the set of dependencies that a route of a service calls. Routes
/// with the same set share the number; it is unique within a service.
using dependency_set_id = std::uint32_t;

/// A call that is about to be sent.
struct outgoing_call
{
    dependency_set_id dependencies = 0;
    admission_position position;
    /// Zero for a client request.
    std::uint32_t depth = 0;
    /// Time left until the deadline.
    core::duration remaining{0};
    /// Instance that failed the previous attempt.
    std::optional<instance_id> failed_instance;
    /// Whether this is the second or a later attempt of a request that the gate already admitted.
    bool retry = false;
};

/// Result of destination::choose.
struct routing_decision
{
    /// No value when the call is refused with outcome not_run.
    std::optional<instance_id> instance;
    core::reason why = core::reason::none;
    /// Requests of the class that were offered here for each admitted one. Set for client requests; passed on
    /// with the request and its nested calls, so that every exit daemon knows the whole demand.
    double offered_ratio = 1.0;
};

/// What a caller knows about one called service: its instances, admission gates and retry budget.
/// Both the entry daemon and the daemon beside a calling upstream hold one for each service they call.
/// Not thread safe.
class destination
{
public:
    explicit destination(const selector_options& selection = {}, const retry_budget_options& retry = {})
        : selector(selection), budget(retry)
    {
    }

    /// Decides whether the call is sent, and to which instance.
    ///
    /// A client request is refused when the level of the service or of its dependencies refuses it. A nested
    /// call is refused only when its deadline could not be met, because refusing it wastes the work that its
    /// callers did; the entry daemon applies the same levels to client requests instead.
    routing_decision choose(core::time_point now, const outgoing_call& call, core::random_source& random);

    /// Records the end of a call that choose() sent to an instance.
    void finish(core::time_point now, instance_id id, attempt_result end, core::duration latency,
                core::random_source& random);

    /// Records the feedback of a response or refusal of an instance.
    void record(core::time_point now, instance_id id, dependency_set_id dependencies,
                const load_feedback& feedback);

    /// Returns the level that applies to a call with these dependencies: the maximum of the service's own
    /// level and that of its dependencies. A service that calls this destination reports the maximum over all
    /// destinations of the route as the dependency_level of its responses.
    admission_level level(core::time_point now, dependency_set_id dependencies) const;

    instance_selector& instances() noexcept { return this->selector; }
    const instance_selector& instances() const noexcept { return this->selector; }
    retry_budget& retries() noexcept { return this->budget; }

private:
    instance_selector selector;
    retry_budget budget;
    /// Entries are added on first use and their number is bounded by the configured routes.
    std::unordered_map<dependency_set_id, admission_gate> gates;
};

} // namespace laburnumreach::overload

#endif
