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
    CPPUNIT_TEST(level_follows_the_overload);
    CPPUNIT_TEST(without_overload_completes_as_many_as_naive);
    CPPUNIT_TEST(no_slot_is_idle_while_calls_wait);
    CPPUNIT_TEST(unmeetable_deadline_is_refused);
    CPPUNIT_TEST(tenants_are_cut_to_equal_shares);
    CPPUNIT_TEST(closed_gate_reopens);
    CPPUNIT_TEST(minimum_shares_are_admitted_despite_level);
    CPPUNIT_TEST(dependency_level_applies_at_the_entry);
    CPPUNIT_TEST(nested_calls_are_refused_only_when_too_late);
    CPPUNIT_TEST_SUITE_END();

    /// Offers calls of 10 ms at a fixed rate to an instance with 10 slots.
    template <typename Scheduler>
    struct load_driver
    {
        Scheduler scheduler{10};
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
                    this->scheduler.finish(
                        at(this->ms), {.cls = priority_class::normal, .total_latency = milliseconds{10}});
                    ++this->completed;
                    this->start_waiting_calls();
                }
                for (std::uint64_t i = 0; i < calls_per_ms; ++i)
                {
                    queued_call call;
                    call.id = ++this->id;
                    call.tenant = static_cast<tenant_id>(this->id % 8);
                    call.position.bucket = static_cast<std::uint8_t>(this->id * 37 % bucket_count);
                    const submit_result result =
                        this->scheduler.submit(at(this->ms), call, at(this->ms + 1000));
                    this->refused += result.decision == submit_result::action::refused ? 1 : 0;
                    this->refused += result.evicted ? 1 : 0;
                    if (result.decision == submit_result::action::start)
                    {
                        this->ends.push_back(this->ms + 10);
                    }
                }
                this->start_waiting_calls();
            }
        }

        void start_waiting_calls()
        {
            while (const auto dequeued = this->scheduler.next(at(this->ms)))
            {
                if (dequeued->why == core::reason::none)
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
    void level_follows_the_overload()
    {
        load_driver<call_scheduler> driver;
        driver.run(3000, 0);
        driver.run(6000, 3);
        CPPUNIT_ASSERT(driver.scheduler.feedback(at(driver.ms), 0).own_level > 0);
        driver.run(7000, 0);
        CPPUNIT_ASSERT_EQUAL(admission_level{0}, driver.scheduler.feedback(at(driver.ms), 0).own_level);
    }

    /// Guards against refusals, and against less goodput than naive_scheduler, without overload.
    void without_overload_completes_as_many_as_naive()
    {
        load_driver<call_scheduler> adaptive;
        load_driver<naive_scheduler> naive;
        adaptive.run(10000, 0);
        naive.run(10000, 0);
        for (std::int64_t end = 10010; end <= 20000; end += 10)
        {
            // Five calls in each 10 ms: half of the capacity.
            adaptive.run(end - 5, 1);
            adaptive.run(end, 0);
            naive.run(end - 5, 1);
            naive.run(end, 0);
        }
        adaptive.run(20100, 0);
        naive.run(20100, 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, adaptive.refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, naive.refused);
        CPPUNIT_ASSERT_EQUAL(naive.completed, adaptive.completed);
    }

    /// Guards against idle slots while calls wait (work conservation) once the limit has grown.
    void no_slot_is_idle_while_calls_wait()
    {
        load_driver<call_scheduler> driver;
        driver.run(2000, 2);
        for (int i = 0; i < 1000; ++i)
        {
            driver.run(driver.ms + 1, 2);
            CPPUNIT_ASSERT(driver.scheduler.queue_length() == 0 || !driver.scheduler.limiter().has_room());
            CPPUNIT_ASSERT(driver.scheduler.limiter().in_flight() <= 10);
        }
    }

    /// Guards against running a call that would be answered too late, and against refusing all later calls.
    void unmeetable_deadline_is_refused()
    {
        call_scheduler scheduler{10};
        queued_call call;
        CPPUNIT_ASSERT(scheduler.submit(at(0), call, at(50)).decision == submit_result::action::start);
        scheduler.finish(at(100), {.cls = priority_class::normal, .total_latency = milliseconds{100}});
        const submit_result refused = scheduler.submit(at(110), call, at(160));
        CPPUNIT_ASSERT(refused.decision == submit_result::action::refused);
        CPPUNIT_ASSERT(refused.why == core::reason::deadline_unmeetable);
        CPPUNIT_ASSERT(scheduler.submit(at(5000), call, at(5050)).decision == submit_result::action::start);
    }

    /// Guards against a customer at many times its share whose requests displace those of others.
    void tenants_are_cut_to_equal_shares()
    {
        core::random_source random{1};
        bucket_assigner shares;
        std::map<tenant_id, std::pair<int, int>> counts; // requests offered, and those with a bucket below 64
        for (int i = 0; i < 40000; ++i)
        {
            // Customer 0 offers ten times as much as each of 1 to 4; customer 4 has double weight.
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

    /// Guards against a gate that refuses everything and, since it then receives no responses, never reopens.
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

    /// Guards against a gate that admits no normal and bulk requests while the critical classes fill the
    /// service.
    void minimum_shares_are_admitted_despite_level()
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

    /// Guards against admitting requests that a service further down the call chain refuses, and against
    /// refusing requests of routes that do not call it.
    void dependency_level_applies_at_the_entry()
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

    /// Guards against refusing a nested call after its callers did their work, unless its deadline could not
    /// be met.
    void nested_calls_are_refused_only_when_too_late()
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
