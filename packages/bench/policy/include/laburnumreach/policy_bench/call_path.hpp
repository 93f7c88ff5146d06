#ifndef LABURNUMREACH_POLICY_BENCH_CALL_PATH_HPP
#define LABURNUMREACH_POLICY_BENCH_CALL_PATH_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/policy_bench/event_loop.hpp"
#include "laburnumreach/policy_bench/node.hpp"
#include "laburnumreach/policy_bench/run_metrics.hpp"
#include "laburnumreach/policy_bench/scenario.hpp"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace laburnumreach::policy_bench
{

/// The daemons and instances of the chain, and the path of a call through them.
template <typename Policy>
class call_path
{
public:
    using node_type = node<Policy>;
    using caller_side = typename Policy::caller_side;
    using request_ptr = std::shared_ptr<request_state>;

    static constexpr std::size_t zones = 3;

    /// A call of one hop over all of its attempts.
    struct outgoing
    {
        request_ptr request;
        caller_side* caller;
        std::size_t caller_zone;
        std::size_t service;
        std::uint32_t depth;
        overload::attempt_counter* attempts;
        std::function<void(const call_answer&)> done;
        std::uint32_t tries = 1;
        std::optional<overload::instance_id> failed_instance{};
    };
    using outgoing_ptr = std::shared_ptr<outgoing>;

    call_path(const scenario& run, event_loop& events, core::random_source& source, run_metrics& recorder)
        : setup(run),
          loop(events),
          random(source),
          metrics(recorder),
          begin(events.now()),
          entries(zones),
          services(run.services.size())
    {
        for (std::size_t zone = 0; zone < zones; ++zone)
        {
            this->entries[zone].zone = zone;
        }
        for (std::size_t service = 0; service < run.services.size(); ++service)
        {
            for (std::size_t i = 0; i < run.services[service].instances; ++i)
            {
                this->add_node(service);
            }
        }
    }

    entry_daemon<Policy>& entry(std::size_t zone) { return this->entries[zone]; }
    std::vector<std::unique_ptr<node_type>>& instances(std::size_t service)
    {
        return this->services[service];
    }

    node_type& add_node(std::size_t service)
    {
        auto& nodes = this->services[service];
        nodes.push_back(
            std::make_unique<node_type>(this->loop, this->setup.services[service], service, nodes.size()));
        node_type& added = *nodes.back();
        if (service + 1 < this->services.size())
        {
            for (const auto& instance : this->services[service + 1])
            {
                this->tell(added.next, added.zone, *instance);
            }
        }
        this->tell_callers(added);
        return added;
    }

    void tell_callers(const node_type& about)
    {
        if (about.service_index == 0)
        {
            for (auto& entry : this->entries)
            {
                this->tell(entry.next, entry.zone, about);
            }
            return;
        }
        for (auto& caller : this->services[about.service_index - 1])
        {
            this->tell(caller->next, caller->zone, about);
        }
    }

    /// Sends a call; its `done` is called once.
    void send(const outgoing_ptr& call)
    {
        request_state& request = *call->request;
        if (Policy::cancels && (request.closed || this->now() >= request.deadline))
        {
            call->done({.result = {core::outcome::not_run, core::reason::deadline_exceeded}, .feedback = {}});
            return;
        }
        const overload::routing_decision chosen =
            call->caller->choose(this->now(),
                                 {.dependencies = dependencies(request),
                                  .position = request.position,
                                  .depth = call->depth,
                                  .remaining = request.deadline - this->now(),
                                  .failed_instance = call->failed_instance,
                                  .retry = call->tries > 1},
                                 this->random);
        if (!chosen.instance)
        {
            const auto level = call->caller->level(this->now(), dependencies(request));
            call->done({.result = {core::outcome::not_run, chosen.why}, .feedback = {.own_level = level}});
            return;
        }
        if (call->depth == 0)
        {
            request.offered_ratio = chosen.offered_ratio;
        }
        node_type& target = *this->services[call->service][*chosen.instance];
        const core::duration latency =
            target.zone == call->caller_zone ? in_zone_latency : cross_zone_latency;
        const std::uint32_t lent =
            call->attempts->delegate(!this->last_service(request, call->service), call->depth);
        auto incoming = std::make_shared<incoming_call>();
        incoming->request = call->request;
        incoming->depth = call->depth;
        incoming->attempts = overload::attempt_counter{lent};
        incoming->answer = [this, call, latency, sent = this->now(), id = target.id](call_answer answer) {
            this->loop.after(latency,
                             [this, call, id, sent, answer] { this->answered(call, id, sent, answer); });
        };
        this->loop.after(latency, [this, &target, incoming] { this->arrive(target, incoming); });
    }

private:
    static constexpr core::duration in_zone_latency = std::chrono::microseconds{200};
    static constexpr core::duration cross_zone_latency = std::chrono::microseconds{1500};
    /// Daemons call call_scheduler::next at least this often while calls are queued.
    static constexpr core::duration poll_interval = milliseconds{50};

    core::time_point now() const { return this->loop.now(); }

    void tell(caller_side& caller, std::size_t caller_zone, const node_type& about)
    {
        Policy::set_instance(caller, this->now(),
                             {.id = about.id,
                              .same_zone = caller_zone == about.zone,
                              .slots = about.model.slots,
                              .draining = about.draining});
    }

    bool last_service(const request_state& request, std::size_t service) const
    {
        return service + 1 == (request.shallow ? 2 : this->services.size());
    }

    /// Routes of a service differ in whether they call the rest of the chain.
    static overload::dependency_set_id dependencies(const request_state& request)
    {
        return request.shallow ? 1 : 0;
    }

    void answered(const outgoing_ptr& call, overload::instance_id id, core::time_point sent,
                  const call_answer& answer)
    {
        const bool refused = answer.result.result == core::outcome::not_run;
        const overload::attempt_result end = answer.connect_failed ? overload::attempt_result::connect_failed
                                             : answer.result.why == core::reason::draining
                                                 ? overload::attempt_result::draining
                                             : refused ? overload::attempt_result::refused
                                                       : overload::attempt_result::answered;
        call->caller->finish(this->now(), id, end, this->now() - sent, this->random);
        if (!answer.connect_failed)
        {
            call->caller->record(this->now(), id, dependencies(*call->request), answer.feedback);
        }
        call->attempts->reclaim(answer.unused_attempts);
        if (answer.result.completed() || (Policy::cancels && call->request->closed))
        {
            call->done(answer);
            return;
        }
        const overload::retry_decision decision =
            Policy::decide(this->now(),
                           {.result = answer.result,
                            .failed_at_this_hop = answer.failed_here,
                            .idempotent = true,
                            .attempts_made = call->tries,
                            .remaining = call->request->deadline - this->now()},
                           *call->attempts, *call->caller, this->random);
        if (!decision.retry)
        {
            call->done(answer);
            return;
        }
        ++call->tries;
        ++call->request->attempts;
        call->failed_instance = id;
        this->loop.after(decision.backoff, [this, call] { this->send(call); });
    }

    void refuse(node_type& at, incoming_call& call, core::reason why)
    {
        call.answer({.result = {core::outcome::not_run, why},
                     .failed_here = true,
                     .connect_failed = why == core::reason::connect_failed,
                     .unused_attempts = call.attempts.remaining(),
                     .feedback = at.exit.feedback(this->now(), this->dependency_level(at, *call.request))});
    }

    overload::admission_level dependency_level(node_type& at, const request_state& request)
    {
        return this->last_service(request, at.service_index)
                   ? overload::admission_level{0}
                   : at.next.level(this->now(), dependencies(request));
    }

    void arrive(node_type& at, const std::shared_ptr<incoming_call>& call)
    {
        if (at.gone || at.draining)
        {
            this->refuse(at, *call, at.gone ? core::reason::connect_failed : core::reason::draining);
            return;
        }
        if (at.service_index + 1 == this->services.size())
        {
            this->metrics.add_deep_call(this->now() - this->begin);
        }
        const request_state& request = *call->request;
        const std::uint64_t id = ++at.last_call_id;
        const overload::submit_result result =
            at.exit.submit(this->now(),
                           {.id = id,
                            .tenant = static_cast<overload::tenant_id>(request.tenant),
                            .weight = this->setup.tenant_weights[request.tenant],
                            .position = request.position,
                            .offered_ratio = request.offered_ratio,
                            .depth = call->depth},
                           request.deadline);
        if (result.evicted)
        {
            this->refuse(at, *this->take_waiting(at, result.evicted->id), core::reason::queue_full);
        }
        switch (result.decision)
        {
        case overload::submit_result::action::start:
            this->start(at, call);
            break;
        case overload::submit_result::action::queued:
            at.waiting.emplace(id, call);
            break;
        case overload::submit_result::action::refused:
            this->refuse(at, *call, result.why);
            break;
        }
        this->serve(at);
    }

    std::shared_ptr<incoming_call> take_waiting(node_type& at, std::uint64_t id)
    {
        return std::move(at.waiting.extract(id).mapped());
    }

    void serve(node_type& at)
    {
        while (const auto leaving = at.exit.next(this->now()))
        {
            const auto call = this->take_waiting(at, leaving->call.id);
            if (leaving->why == core::reason::none)
            {
                this->start(at, call);
            }
            else
            {
                this->refuse(at, *call, leaving->why);
            }
        }
        if (!at.poll_scheduled && !at.waiting.empty())
        {
            at.poll_scheduled = true;
            this->loop.after(poll_interval,
                             [this, &at]
                             {
                                 at.poll_scheduled = false;
                                 this->serve(at);
                             });
        }
    }

    void start(node_type& at, const std::shared_ptr<incoming_call>& call)
    {
        if (++at.running > at.model.slots)
        {
            this->metrics.slots_exceeded();
        }
        call->started = this->now();
        const bool last = this->last_service(*call->request, at.service_index);
        this->work(at, call, last ? 1.0 : 0.5,
                   [this, &at, call, last]
                   {
                       if (last)
                       {
                           this->end(at, call, {core::outcome::ran, core::reason::none});
                       }
                       else
                       {
                           this->call_next(at, call);
                       }
                   });
    }

    void work(node_type& at, const std::shared_ptr<incoming_call>& call, double share,
              std::function<void()> done)
    {
        const double mean = share * static_cast<double>(at.model.work.count());
        const core::duration amount{
            static_cast<core::duration::rep>(0.5 * mean + 0.5 * mean * -std::log1p(-this->random.uniform()))};
        call->request->work += amount;
        at.cpu.run(amount, std::move(done));
    }

    void call_next(node_type& at, const std::shared_ptr<incoming_call>& call)
    {
        at.exit.begin_nested_wait(this->now());
        this->serve(at);
        const core::time_point begin_wait = this->now();
        auto nested = std::make_shared<outgoing>(outgoing{
            .request = call->request,
            .caller = &at.next,
            .caller_zone = at.zone,
            .service = at.service_index + 1,
            .depth = call->depth + 1,
            .attempts = &call->attempts,
            .done =
                [this, &at, call, begin_wait](const call_answer& answer)
            {
                at.exit.end_nested_wait(this->now());
                call->nested += this->now() - begin_wait;
                if (answer.result.completed())
                {
                    this->work(at, call, 0.5,
                               [this, &at, call] {
                                   this->end(at, call, {core::outcome::ran, core::reason::none});
                               });
                }
                else
                {
                    this->end(at, call, {core::outcome::ran, answer.result.why});
                }
            },
        });
        this->send(nested);
    }

    void end(node_type& at, const std::shared_ptr<incoming_call>& call, const core::verdict& result)
    {
        --at.running;
        at.exit.finish(this->now(), {.cls = call->request->position.cls,
                                     .total_latency = this->now() - call->started,
                                     .nested_latency = call->nested,
                                     .result = result.completed() ? overload::upstream_result::success
                                                                  : overload::upstream_result::ignored});
        call->answer({.result = result,
                      .unused_attempts = call->attempts.remaining(),
                      .feedback = at.exit.feedback(this->now(), this->dependency_level(at, *call->request))});
        this->serve(at);
    }

    const scenario& setup;
    event_loop& loop;
    core::random_source& random;
    run_metrics& metrics;
    core::time_point begin;
    std::vector<entry_daemon<Policy>> entries;
    std::vector<std::vector<std::unique_ptr<node_type>>> services;
};

} // namespace laburnumreach::policy_bench

#endif
