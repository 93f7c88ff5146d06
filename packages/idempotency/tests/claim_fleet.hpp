#ifndef LABURNUMREACH_IDEMPOTENCY_TESTS_CLAIM_FLEET_HPP
#define LABURNUMREACH_IDEMPOTENCY_TESTS_CLAIM_FLEET_HPP

#include "fake_store.hpp"
#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/idempotency/claim_client.hpp"
#include "laburnumreach/idempotency/claim_committer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace laburnumreach::idempotency
{

/// Probabilities of faults.
struct fleet_faults
{
    double lost_message = 0.0;
    double repeated_message = 0.0;
    double slow = 0.0;              ///< Of messages and store calls that take up to 3 s.
    double lost_store_answer = 0.0; ///< Of writes of unknown fate.
    double not_run = 0.0;           ///< Of granted attempts that end as proven not run.
    double wrong_liveness = 0.0;    ///< Of wrong answers of the predicate is_running.
};

/// Daemons with clients and committers, a store and a network in virtual time. Checks after each step that no
/// key runs twice.
class claim_fleet
{
public:
    struct daemon
    {
        process_id process;
        claim_router router;
        std::unique_ptr<claim_client> client;
        std::unique_ptr<claim_committer> committer;
        core::duration clock_offset{0};
        double clock_rate = 1.0;
        core::time_point paused_until;
    };

    claim_fleet(std::uint64_t seed, std::size_t size, const claim_committer_options& options)
        : random(seed), committer_options(options)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            daemon& added = this->daemons["vm-" + std::to_string(index)];
            added.process.daemon = "vm-" + std::to_string(index);
            added.clock_offset = std::chrono::seconds{this->random.below(100'000)};
            added.clock_rate = 0.99 + 0.02 * this->random.uniform();
        }
        for (auto& [id, started] : this->daemons)
        {
            this->route(started, this->ids());
            this->start(started);
        }
    }

    std::vector<std::string> ids() const
    {
        std::vector<std::string> list;
        for (const auto& [id, known] : this->daemons)
        {
            list.push_back(id);
        }
        return list;
    }

    daemon& any_daemon()
    {
        return this->daemons.at("vm-" + std::to_string(this->random.below(this->daemons.size())));
    }

    /// Starts a new process of a daemon, without memory of the one before.
    void start(daemon& target)
    {
        ++target.process.incarnation;
        target.client = std::make_unique<claim_client>(this->client_options, target.process, target.router);
        target.committer = std::make_unique<claim_committer>(
            this->committer_options, target.process,
            [this](const process_id& asked)
            {
                const bool running = this->daemons.at(asked.daemon).process == asked;
                return running != this->random.chance(this->faults.wrong_liveness);
            });
        target.committer->set_routed(target.router.slots_of(target.process.daemon) & this->used_slots);
    }

    void route(daemon& target, const std::vector<std::string>& members)
    {
        target.router.set_members(members);
        if (target.committer)
        {
            target.committer->set_routed(target.router.slots_of(target.process.daemon) & this->used_slots);
        }
    }

    /// Begins an attempt of a caller's request.
    std::uint64_t begin(daemon& target, const claim_key& key)
    {
        this->used_slots.set(slot_of(key));
        claim_client_outbox out;
        const std::uint64_t sequence = target.client->begin(this->local(target), key, out);
        this->attempts[{target.process, sequence}] = {.key = key};
        this->post(target, out);
        return sequence;
    }

    void cancel(daemon& target, std::uint64_t sequence)
    {
        claim_client_outbox out;
        if (target.client->cancel(this->local(target), sequence, out))
        {
            this->attempts.at({target.process, sequence}).ended = true;
        }
        this->post(target, out);
    }

    /// Advances virtual time.
    void run(core::duration time)
    {
        for (const core::time_point end = this->now + time; this->now < end;)
        {
            this->now += std::chrono::milliseconds{50};
            while (!this->events.empty() && this->events.begin()->first <= this->now)
            {
                const auto event = this->events.extract(this->events.begin()).mapped();
                event();
            }
            for (auto& [id, ticked] : this->daemons)
            {
                if (this->now >= ticked.paused_until)
                {
                    claim_client_outbox out;
                    ticked.client->tick(this->local(ticked), out);
                    this->post(ticked, out);
                    this->post(ticked, ticked.committer->tick(this->local(ticked)));
                }
            }
        }
    }

    core::time_point local(const daemon& target) const
    {
        const core::duration since_start = this->now.time_since_epoch();
        const auto elapsed = core::duration{
            static_cast<std::int64_t>(static_cast<double>(since_start.count()) * target.clock_rate)};
        return core::time_point{elapsed + target.clock_offset};
    }

    struct attempt
    {
        claim_key key;
        bool ended = false; ///< Decided or cancelled: no decision may follow.
        claim_outcome outcome = claim_outcome::claim_store_unavailable;
    };

    std::map<std::string, daemon> daemons;
    std::map<std::pair<process_id, std::uint64_t>, attempt> attempts;
    std::map<claim_key, std::vector<core::time_point>> runs;
    std::set<claim_key> finished;
    std::size_t decisions = 0;
    fleet_faults faults;
    fake_store store;
    core::random_source random;
    claim_client_options client_options;
    /// Shortest time between two runs of one key. Greater than any schedule unless it tests the retention.
    core::duration run_distance = std::chrono::hours{1};
    core::time_point now{std::chrono::hours{1}};

private:
    core::duration delay()
    {
        const std::uint64_t most = this->random.chance(this->faults.slow) ? 3'000'000 : 5'000;
        return std::chrono::microseconds{500 + this->random.below(most)};
    }

    /// Runs an action at a daemon later, unless its process has ended by then.
    void later(const daemon& target, core::duration wait, const std::function<void(daemon&)>& action)
    {
        this->events.emplace(std::max(this->now + wait, target.paused_until),
                             [this, process = target.process, action]
                             {
                                 daemon& host = this->daemons.at(process.daemon);
                                 if (host.process == process && this->now < host.paused_until)
                                 {
                                     this->later(host, core::duration{0}, action);
                                 }
                                 else if (host.process == process)
                                 {
                                     action(host);
                                 }
                             });
    }

    void post(daemon& sender, const claim_client_outbox& out)
    {
        this->send(out.messages);
        for (const claim_decision& decision : out.decisions)
        {
            this->decide(sender, decision);
        }
    }

    void post(daemon& sender, const claim_outbox& out)
    {
        this->send(out.messages);
        for (const store_call& call : out.calls)
        {
            this->call(sender, call);
        }
    }

    void send(const std::vector<outgoing_claim_message>& messages)
    {
        for (const outgoing_claim_message& outgoing : messages)
        {
            std::size_t copies = this->random.chance(this->faults.lost_message) ? 0 : 1;
            copies += this->random.chance(this->faults.repeated_message) ? 1 : 0;
            for (; copies > 0; --copies)
            {
                this->events.emplace(this->now + this->delay(),
                                     [this, outgoing] { this->deliver(outgoing); });
            }
        }
    }

    void deliver(const outgoing_claim_message& arrived)
    {
        daemon& receiver = this->daemons.at(arrived.daemon);
        if (this->now < receiver.paused_until)
        {
            this->events.emplace(receiver.paused_until, [this, arrived] { this->deliver(arrived); });
            return;
        }
        const core::time_point local_now = this->local(receiver);
        claim_client_outbox out;
        if (const auto* request = std::get_if<claim_request>(&arrived.message))
        {
            this->post(receiver, receiver.committer->receive(local_now, *request));
        }
        else if (const auto* update = std::get_if<claim_update>(&arrived.message))
        {
            this->post(receiver, receiver.committer->receive(local_now, *update));
        }
        else if (const auto* response = std::get_if<claim_response>(&arrived.message))
        {
            receiver.client->receive(local_now, *response, out);
        }
        else
        {
            receiver.client->receive(std::get<claim_acknowledgement>(arrived.message));
        }
        this->post(receiver, out);
    }

    void call(daemon& caller, const store_call& made)
    {
        const bool answer_lost = this->random.chance(this->faults.lost_store_answer);
        const core::duration way = this->delay();
        this->events.emplace(this->now + way,
                             [this, process = caller.process, made, answer_lost]
                             {
                                 const store_result result = this->store.apply(made);
                                 daemon& host = this->daemons.at(process.daemon);
                                 if (!answer_lost && host.process == process)
                                 {
                                     this->later(host, this->delay(),
                                                 [this, result](daemon& target)
                                                 { this->complete(target, result); });
                                 }
                             });
        // The caller may learn that the answer is lost before the write takes effect, or never.
        if (answer_lost && this->random.chance(0.5))
        {
            this->later(caller, this->delay(),
                        [this, made](daemon& target) {
                            this->complete(target, {.id = made.id, .status = store_status::outcome_unknown});
                        });
        }
    }

    void complete(daemon& target, const store_result& result)
    {
        this->post(target, target.committer->complete(this->local(target), result));
    }

    void decide(daemon& owner, const claim_decision& decision)
    {
        ++this->decisions;
        attempt& decided = this->attempts.at({owner.process, decision.sequence});
        check(!decided.ended, "a second decision, or one after a cancellation");
        decided.ended = true;
        decided.outcome = decision.outcome;
        check(decision.outcome != claim_outcome::duplicate_finished || this->finished.contains(decided.key),
              "verdict ran for a key that never ran");
        if (decision.outcome == claim_outcome::granted)
        {
            this->later(owner, std::chrono::milliseconds{this->random.below(500)},
                        [this, decision](daemon& host) { this->start_run(host, decision); });
        }
    }

    void start_run(daemon& host, const claim_decision& granted)
    {
        claim_client_outbox out;
        if (this->local(host) >= granted.start_before || this->random.chance(this->faults.not_run))
        {
            host.client->release(this->local(host), granted.sequence, out);
            this->post(host, out);
            return;
        }
        const claim_key key = this->attempts.at({host.process, granted.sequence}).key;
        std::vector<core::time_point>& starts = this->runs[key];
        check(starts.empty() || this->now - starts.back() >= this->run_distance, "a key ran twice");
        starts.push_back(this->now);
        this->later(host, std::chrono::milliseconds{this->random.below(3000)},
                    [this, granted, key](daemon& runner)
                    {
                        this->finished.insert(key);
                        claim_client_outbox reports;
                        runner.client->finish(this->local(runner), granted.sequence, reports);
                        this->post(runner, reports);
                    });
    }

    static void check(bool holds, const char* message)
    {
        if (!holds)
        {
            throw std::logic_error{message};
        }
    }

    claim_committer_options committer_options;
    slot_set used_slots;
    std::multimap<core::time_point, std::function<void()>> events;
};

} // namespace laburnumreach::idempotency

#endif
