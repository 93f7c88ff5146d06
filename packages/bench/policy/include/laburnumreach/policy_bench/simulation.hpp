#ifndef LABURNUMREACH_POLICY_BENCH_SIMULATION_HPP
#define LABURNUMREACH_POLICY_BENCH_SIMULATION_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/overload/retry_policy.hpp"
#include "laburnumreach/policy_bench/call_path.hpp"
#include "laburnumreach/policy_bench/event_loop.hpp"
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

/// Runs one case with one policy in virtual time.
template <typename Policy>
class simulation
{
public:
    simulation(const scenario& run, std::uint64_t seed)
        : setup(run), random(seed), metrics(run), path(run, this->loop, this->random, this->metrics)
    {
    }

    run_summary run()
    {
        this->schedule_faults();
        this->announce();
        this->sample_levels();
        this->next_arrival();
        this->loop.run_until(this->begin + this->setup.end);
        for (const auto& request : this->requests)
        {
            if (request->closed)
            {
                this->metrics.add({.arrival = request->arrival - this->begin,
                                   .end = request->end - this->begin,
                                   .cls = request->position.cls,
                                   .tenant = request->tenant,
                                   .completed = request->completed,
                                   .why = request->why,
                                   .attempts = request->attempts,
                                   .work = request->work});
            }
        }
        return this->metrics.summarise(Policy::name);
    }

private:
    using node_type = node<Policy>;
    using request_ptr = std::shared_ptr<request_state>;
    using outgoing = typename call_path<Policy>::outgoing;

    /// Service with the faults of single instances.
    static constexpr std::size_t faulty_service = 2;

    core::time_point now() const { return this->loop.now(); }

    bool triggered() const
    {
        const core::duration since = this->now() - this->begin;
        return since >= this->setup.trigger_begin && since < this->setup.trigger_end;
    }

    void schedule_faults()
    {
        const core::duration start = this->setup.trigger_begin;
        auto& deep = this->path.instances(this->setup.services.size() - 1);
        this->loop.after(start,
                         [this, &deep]
                         {
                             for (auto& instance : deep)
                             {
                                 instance->cpu.set_speed(1.0 / this->setup.slowdown);
                             }
                         });
        this->loop.after(this->setup.trigger_end,
                         [&deep]
                         {
                             for (auto& instance : deep)
                             {
                                 instance->cpu.set_speed(1.0);
                             }
                         });
        if (this->setup.cold_instance)
        {
            this->loop.after(start, [this] { this->warm_up(this->path.add_node(faulty_service), 0.2); });
        }
        if (this->setup.leaving_instance)
        {
            node_type& leaving = *this->path.instances(faulty_service)[0];
            this->loop.after(start, [&leaving] { leaving.draining = true; });
            this->loop.after(start + milliseconds{300}, [&leaving] { leaving.gone = true; });
            this->loop.after(start + milliseconds{600},
                             [this, &leaving] { this->path.tell_callers(leaving); });
        }
    }

    void warm_up(node_type& instance, double speed)
    {
        instance.cpu.set_speed(speed);
        if (speed < 1.0)
        {
            this->loop.after(milliseconds{300}, [this, &instance, speed]
                             { this->warm_up(instance, std::min(speed + 0.08, 1.0)); });
        }
    }

    void announce()
    {
        for (std::size_t service = 0; service < this->setup.services.size(); ++service)
        {
            for (auto& instance : this->path.instances(service))
            {
                double load = instance->running / static_cast<double>(instance->model.slots);
                if (this->setup.wrong_load && instance->service_index == faulty_service && instance->id < 2)
                {
                    load = instance->id == 0 ? 1.0 : 0.0;
                }
                instance->exit.announce(this->now(), instance->model.slots, load);
            }
        }
        this->loop.after(std::chrono::seconds{1}, [this] { this->announce(); });
    }

    void sample_levels()
    {
        double sum = 0.0;
        auto& deep = this->path.instances(this->setup.services.size() - 1);
        for (auto& instance : deep)
        {
            sum += instance->exit.feedback(this->now(), 0).own_level;
        }
        this->metrics.add_deep_level(this->now() - this->begin, sum / static_cast<double>(deep.size()));
        this->loop.after(run_metrics::bucket, [this] { this->sample_levels(); });
    }

    void next_arrival()
    {
        const bool during = this->triggered();
        const double rate = during ? this->setup.triggered_rate() : this->setup.rate;
        const double wait = -std::log1p(-this->random.uniform()) / rate;
        this->loop.after(core::duration{static_cast<core::duration::rep>(wait * 1e9)},
                         [this]
                         {
                             this->new_client();
                             this->next_arrival();
                         });
    }

    template <typename Weight>
    std::size_t draw(std::size_t count, Weight weight)
    {
        double total = 0.0;
        for (std::size_t i = 0; i < count; ++i)
        {
            total += weight(i);
        }
        double left = this->random.uniform() * total;
        for (std::size_t i = 0; i + 1 < count; ++i)
        {
            left -= weight(i);
            if (left < 0.0)
            {
                return i;
            }
        }
        return count - 1;
    }

    void new_client()
    {
        const bool during = this->triggered();
        const std::size_t tenant =
            this->draw(this->setup.tenant_weights.size(),
                       [&](std::size_t i)
                       {
                           const bool surging = during && i == this->setup.surging_tenant;
                           return this->setup.tenant_weights[i] * (surging ? this->setup.tenant_factor : 1.0);
                       });
        const std::size_t cls =
            this->draw(core::priority_class_count, [&](std::size_t i)
                       { return this->setup.class_mix[i] * (during ? this->setup.surge[i] : 1.0); });
        const bool shallow = this->random.chance(this->setup.shallow_share);
        this->new_request(tenant, static_cast<core::priority_class>(cls), shallow, 1);
    }

    void new_request(std::size_t tenant, core::priority_class cls, bool shallow, std::uint32_t client_tries)
    {
        entry_daemon<Policy>& entry = this->path.entry(this->random.below(call_path<Policy>::zones));
        auto request = std::make_shared<request_state>();
        request->arrival = this->now();
        request->deadline = this->now() + this->setup.timeouts[static_cast<std::size_t>(cls)];
        request->tenant = tenant;
        request->shallow = shallow;
        request->client_tries = client_tries;
        request->position = entry.shares.assign(this->now(), cls, static_cast<overload::tenant_id>(tenant),
                                                this->setup.tenant_weights[tenant], this->random);
        this->requests.push_back(request);
        auto attempts = std::make_shared<overload::attempt_counter>(this->setup.attempts - 1);
        auto call = std::make_shared<outgoing>(outgoing{
            .request = request,
            .caller = &entry.next,
            .caller_zone = entry.zone,
            .service = 0,
            .depth = 0,
            .attempts = attempts.get(),
            .done = [this, request, attempts](const call_answer& answer)
            { this->close(*request, answer.result, answer.feedback.level()); },
        });
        this->loop.after(
            request->deadline - this->now(),
            [this, request] {
                this->close(*request, {core::outcome::may_have_run, core::reason::deadline_exceeded}, 0);
            });
        this->path.send(call);
    }

    void close(request_state& request, const core::verdict& result, overload::admission_level level)
    {
        if (request.closed)
        {
            return;
        }
        request.closed = true;
        request.completed = result.completed();
        request.why = result.why;
        request.end = this->now();
        const client_model& client = this->setup.clients;
        if (request.completed || request.client_tries > client.retries)
        {
            return;
        }
        core::duration wait =
            std::chrono::duration_cast<core::duration>(client.delay * (0.5 + this->random.uniform()));
        if (client.honours_advice)
        {
            wait = std::max<core::duration>(wait, overload::retry_policy{}.retry_after(level, this->random));
        }
        this->loop.after(wait, [this, tenant = request.tenant, cls = request.position.cls,
                                shallow = request.shallow, tries = request.client_tries + 1]
                         { this->new_request(tenant, cls, shallow, tries); });
    }

    const scenario& setup;
    event_loop loop;
    core::time_point begin = this->loop.now();
    core::random_source random;
    std::vector<request_ptr> requests;
    run_metrics metrics;
    call_path<Policy> path;
};

} // namespace laburnumreach::policy_bench

#endif
