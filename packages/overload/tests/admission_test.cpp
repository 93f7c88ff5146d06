#include "laburnumreach/overload/bucket_assigner.hpp"
#include "laburnumreach/overload/call_scheduler.hpp"
#include "laburnumreach/overload/destination.hpp"
#include "laburnumreach/overload/naive_scheduler.hpp"

#include "test_time.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <iostream>
#include <map>
#include <utility>

namespace laburnumreach::overload
{

using core::priority_class;

class admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(level_rises_and_returns);
    CPPUNIT_TEST(no_overload_is_like_naive);
    CPPUNIT_TEST(slots_are_used_while_calls_wait);
    CPPUNIT_TEST(unmeetable_deadline_is_refused);
    CPPUNIT_TEST(tenants_are_cut_to_equal_shares);
    CPPUNIT_TEST(closed_gate_reopens);
    CPPUNIT_TEST(minimum_shares_pass_a_gate);
    CPPUNIT_TEST(dependency_level_reaches_the_entry);
    CPPUNIT_TEST(nested_calls_pass_unless_too_late);
    CPPUNIT_TEST_SUITE_END();

    /// Offers calls of 10 ms at a fixed rate to an instance with 10 slots.
    template <typename Exit>
    struct driver
    {
        Exit exit{10};
        std::int64_t ms = 0;
        std::uint64_t refused = 0;
        std::uint64_t completed = 0;
        std::uint64_t id = 0;
        std::deque<std::int64_t> ends{};

        void run(std::int64_t until_ms, std::uint64_t calls_per_ms)
        {
            for (std::int64_t left = until_ms - this->ms; left > 0; --left, ++this->ms)
            {
                for (; !this->ends.empty() && this->ends.front() <= this->ms; this->ends.pop_front())
                {
                    this->exit.finish(at(this->ms),
                                      {.cls = priority_class::normal, .total_latency = milliseconds{10}});
                    ++this->completed;
                    this->start_waiting();
                }
                for (std::uint64_t i = 0; i < calls_per_ms; ++i)
                {
                    queued_call call;
                    call.id = ++this->id;
                    call.tenant = static_cast<tenant_id>(this->id % 8);
                    call.position.bucket = static_cast<std::uint8_t>(this->id * 37 % bucket_count);
                    const submit_result result = this->exit.submit(at(this->ms), call, at(this->ms + 1000));
                    this->refused += result.decision == submit_result::action::refused ? 1 : 0;
                    this->refused += result.evicted ? 1 : 0;
                    if (result.decision == submit_result::action::start)
                    {
                        this->ends.push_back(this->ms + 10);
                    }
                }
                this->start_waiting();
            }
        }

        void start_waiting()
        {
            while (const auto left = this->exit.next(at(this->ms)))
            {
                if (left->why == core::reason::none)
                {
                    this->ends.push_back(this->ms + 10);
                }
                else
                {
                    ++this->refused;
                }
            }
        }
    };

    static load_feedback feedback(admission_level own, admission_level dependency)
    {
        return {.own_level = own, .dependency_level = dependency};
    }

    static outgoing_call request(priority_class cls, std::uint8_t bucket, dependency_set_id dependencies = 0)
    {
        outgoing_call call;
        call.dependencies = dependencies;
        call.position = {cls, bucket};
        call.remaining = milliseconds{1000};
        return call;
    }

public:
    /// Guards against a level that does not react to a queue, and one that outlasts the overload by more than
    /// 1 s.
    void level_rises_and_returns()
    {
        driver<call_scheduler> driven;
        driven.run(3000, 0);
        driven.run(6000, 3);
        CPPUNIT_ASSERT(driven.exit.feedback(at(driven.ms), 0).own_level > 0);
        driven.run(7000, 0);
        CPPUNIT_ASSERT_EQUAL(admission_level{0}, driven.exit.feedback(at(driven.ms), 0).own_level);
    }

    /// Guards against refusals, or less goodput than the baseline, where nothing is overloaded.
    void no_overload_is_like_naive()
    {
        driver<call_scheduler> ours;
        driver<naive_scheduler> naive;
        ours.run(10000, 0);
        naive.run(10000, 0);
        for (std::int64_t end = 10010; end <= 20000; end += 10)
        {
            // Five calls in each 10 ms: half of the capacity.
            ours.run(end - 5, 1);
            ours.run(end, 0);
            naive.run(end - 5, 1);
            naive.run(end, 0);
        }
        ours.run(20100, 0);
        naive.run(20100, 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ours.refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, naive.refused);
        CPPUNIT_ASSERT_EQUAL(naive.completed, ours.completed);
    }

    /// Guards against idle slots while calls wait (work conservation) once the limit has grown.
    void slots_are_used_while_calls_wait()
    {
        driver<call_scheduler> driven;
        driven.run(2000, 2);
        for (int i = 0; i < 1000; ++i)
        {
            driven.run(driven.ms + 1, 2);
            CPPUNIT_ASSERT(driven.exit.queue_length() == 0 || !driven.exit.limiter().has_room());
            CPPUNIT_ASSERT(driven.exit.limiter().in_flight() <= 10);
        }
    }

    /// Guards against work for a call that would be answered too late, and against refusing for ever after.
    void unmeetable_deadline_is_refused()
    {
        call_scheduler exit{10};
        queued_call call;
        CPPUNIT_ASSERT(exit.submit(at(0), call, at(50)).decision == submit_result::action::start);
        exit.finish(at(100), {.cls = priority_class::normal, .total_latency = milliseconds{100}});
        const submit_result refused = exit.submit(at(110), call, at(160));
        CPPUNIT_ASSERT(refused.decision == submit_result::action::refused);
        CPPUNIT_ASSERT(refused.why == core::reason::deadline_unmeetable);
        CPPUNIT_ASSERT(exit.submit(at(5000), call, at(5050)).decision == submit_result::action::start);
    }

    /// Guards against a tenant at many times its share that displaces others below a level.
    void tenants_are_cut_to_equal_shares()
    {
        core::random_source random{1};
        bucket_assigner shares;
        std::map<tenant_id, std::pair<int, int>> counts; // offered and below the cut
        for (int i = 0; i < 40000; ++i)
        {
            // Tenant 0 offers ten times as much as each of 1 to 4; tenant 4 has double weight.
            const auto tenant = static_cast<tenant_id>(
                std::max<std::int64_t>(static_cast<std::int64_t>(random.below(14)) - 9, 0));
            const admission_position position =
                shares.assign(at(i / 4), priority_class::normal, tenant, tenant == 4 ? 2.0 : 1.0, random);
            ++counts[tenant].first;
            counts[tenant].second += position.bucket < 64 ? 1 : 0;
        }
        for (const tenant_id tenant : {1U, 2U, 3U, 4U})
        {
            CPPUNIT_ASSERT(counts[tenant].second >= 0.95 * counts[tenant].first);
        }
        CPPUNIT_ASSERT(counts[0].second <= 0.3 * counts[0].first);
    }

    /// Guards against a gate that refuses everything and, without answers, never opens again.
    void closed_gate_reopens()
    {
        core::random_source random{1};
        destination called;
        called.instances().set_instance(at(0), {.id = 1, .slots = 100});
        called.record(at(0), 1, 0, feedback(position_count, 0));
        for (const std::uint8_t bucket : {0, 100})
        {
            const routing_decision refused =
                called.choose(at(10), request(priority_class::normal, bucket), random);
            CPPUNIT_ASSERT(!refused.instance && refused.why == core::reason::overloaded);
        }
        CPPUNIT_ASSERT(called.choose(at(350), request(priority_class::critical_fast, 0), random).instance);
        CPPUNIT_ASSERT(called.choose(at(1150), request(priority_class::bulk, 120), random).instance);
    }

    /// Guards against normal and bulk requests that no gate admits while the critical classes fill the
    /// service.
    void minimum_shares_pass_a_gate()
    {
        core::random_source random{1};
        admission_gate gate;
        std::map<priority_class, int> admitted;
        for (int i = 0; i < 10000; ++i)
        {
            for (const priority_class cls :
                 {priority_class::critical, priority_class::normal, priority_class::bulk})
            {
                const admission_position position{cls, static_cast<std::uint8_t>(random.below(bucket_count))};
                admitted[cls] +=
                    gate.admit(at(i), position, 2 * bucket_count, random) != admission_gate::decision::refused
                        ? 1
                        : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL(10000, admitted[priority_class::critical]);
        CPPUNIT_ASSERT(admitted[priority_class::normal] >= 450 && admitted[priority_class::normal] <= 700);
        CPPUNIT_ASSERT(admitted[priority_class::bulk] >= 225 && admitted[priority_class::bulk] <= 350);
    }

    /// Guards against work for requests that a deeper service refuses, and against closing routes without it.
    void dependency_level_reaches_the_entry()
    {
        core::random_source random{1};
        destination deep;
        deep.instances().set_instance(at(0), {.id = 1, .slots = 100});
        deep.record(at(0), 1, 0, feedback(300, 0));
        destination entry;
        entry.instances().set_instance(at(0), {.id = 1, .slots = 100});
        const admission_level seen = deep.level(at(10), 0);
        CPPUNIT_ASSERT_EQUAL(admission_level{300}, seen);
        entry.record(at(10), 1, 7, feedback(40, seen));
        entry.record(at(10), 1, 8, feedback(40, 0));
        CPPUNIT_ASSERT_EQUAL(admission_level{300}, entry.level(at(20), 7));
        CPPUNIT_ASSERT_EQUAL(admission_level{40}, entry.level(at(20), 8));
        const routing_decision refused = entry.choose(at(20), request(priority_class::normal, 50, 7), random);
        CPPUNIT_ASSERT(!refused.instance && refused.why == core::reason::downstream_overloaded);
        CPPUNIT_ASSERT(entry.choose(at(20), request(priority_class::normal, 50, 8), random).instance);
        CPPUNIT_ASSERT(entry.choose(at(20), request(priority_class::critical, 50, 7), random).instance);
    }

    /// Guards against refusing a call after its callers did their work, unless it would be too late anyway.
    void nested_calls_pass_unless_too_late()
    {
        core::random_source random{1};
        destination called;
        called.instances().set_instance(at(0), {.id = 1, .slots = 100});
        load_feedback closed = feedback(position_count, 0);
        closed.queue_delay = milliseconds{200};
        called.record(at(0), 1, 0, closed);
        outgoing_call nested = request(priority_class::normal, 100);
        nested.depth = 1;
        CPPUNIT_ASSERT(called.choose(at(1), nested, random).instance);
        nested.remaining = milliseconds{100};
        CPPUNIT_ASSERT(called.choose(at(1), nested, random).why == core::reason::deadline_unmeetable);
        CPPUNIT_ASSERT(called.choose(at(150), nested, random).instance);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

} // namespace laburnumreach::overload
