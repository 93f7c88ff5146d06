#ifndef LABURNUMREACH_POLICY_BENCH_NODE_HPP
#define LABURNUMREACH_POLICY_BENCH_NODE_HPP

#include "laburnumreach/overload/bucket_assigner.hpp"
#include "laburnumreach/policy_bench/processor.hpp"
#include "laburnumreach/policy_bench/scenario.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace laburnumreach::policy_bench
{

/// Everything known about one request of a client.
struct request_state
{
    core::time_point arrival;
    core::time_point deadline;
    core::time_point end{};
    overload::admission_position position;
    double offered_ratio = 1.0;
    std::size_t tenant = 0;
    bool shallow = false;
    bool closed = false;
    bool completed = false;
    core::reason why = core::reason::none;
    std::uint32_t attempts = 1;
    std::uint32_t client_tries = 1;
    core::duration work{0};
};

/// Answer of an exit daemon.
struct call_answer
{
    core::verdict result;
    /// Whether the failure occurred at the answering hop and not further down.
    bool failed_here = false;
    bool connect_failed = false;
    std::uint32_t unused_attempts = 0;
    overload::load_feedback feedback;
};

/// A call that reached an instance.
struct incoming_call
{
    std::shared_ptr<request_state> request;
    std::uint32_t depth = 0;
    overload::attempt_counter attempts;
    std::function<void(call_answer)> answer;
    core::time_point started{};
    core::duration nested{0};
};

/// One VM: an instance of a service and its daemon.
template <typename Policy>
struct node
{
    node(event_loop& events, const service_model& service, std::size_t service_number, std::size_t number)
        : model(service),
          service_index(service_number),
          id(static_cast<overload::instance_id>(number)),
          zone(number % 3),
          exit(service.slots),
          cpu(events, service.parallel)
    {
    }

    service_model model;
    std::size_t service_index;
    overload::instance_id id;
    std::size_t zone;
    typename Policy::exit_side exit;
    processor cpu;
    /// The next service of the chain.
    typename Policy::caller_side next;
    std::unordered_map<std::uint64_t, std::shared_ptr<incoming_call>> waiting;
    std::uint64_t last_call_id = 0;
    std::uint32_t running = 0; ///< Counted apart from the policy, to check the slots.
    bool poll_scheduled = false;
    bool draining = false;
    bool gone = false;
};

/// An entry daemon.
template <typename Policy>
struct entry_daemon
{
    std::size_t zone = 0;
    typename Policy::caller_side next;
    overload::bucket_assigner shares;
};

} // namespace laburnumreach::policy_bench

#endif
