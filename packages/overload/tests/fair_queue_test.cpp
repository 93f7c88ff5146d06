#include "laburnumreach/overload/fair_queue.hpp"

#include "laburnumreach/core/random_source.hpp"
#include "test_time.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace laburnumreach::overload
{

using core::priority_class;

class fair_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fair_queue_test);
    CPPUNIT_TEST(order);
    CPPUNIT_TEST(weights_are_respected);
    CPPUNIT_TEST(no_class_starves);
    CPPUNIT_TEST(eviction);
    CPPUNIT_TEST(late_calls_expire);
    CPPUNIT_TEST(cancelled_calls_leave);
    CPPUNIT_TEST(every_call_leaves_once);
    CPPUNIT_TEST_SUITE_END();

    static queued_call call(std::uint64_t id, priority_class cls, tenant_id tenant = 1,
                            std::uint32_t depth = 0, double weight = 1.0)
    {
        queued_call result;
        result.id = id;
        result.tenant = tenant;
        result.weight = weight;
        result.position.cls = cls;
        result.depth = depth;
        return result;
    }

public:
    /// Guards against important calls behind others, calls that already consumed work behind new ones, and
    /// reordered calls of a customer.
    void order()
    {
        struct table_case
        {
            std::string name;
            std::vector<queued_call> calls;
            std::vector<std::uint64_t> order;
        };
        const std::vector<table_case> cases{
            {"class first",
             {call(1, priority_class::bulk), call(2, priority_class::normal),
              call(3, priority_class::critical), call(4, priority_class::critical_fast)},
             {4, 3, 2, 1}},
            {"depth before new calls of the class",
             {call(1, priority_class::normal), call(2, priority_class::normal, 2, 3)},
             {2, 1}},
            {"class before depth",
             {call(1, priority_class::normal, 1, 3), call(2, priority_class::critical)},
             {2, 1}},
            {"oldest first in a tenant",
             {call(1, priority_class::normal), call(2, priority_class::normal),
              call(3, priority_class::normal)},
             {1, 2, 3}},
        };
        for (const table_case& test_case : cases)
        {
            fair_queue queue;
            for (const queued_call& pushed : test_case.calls)
            {
                CPPUNIT_ASSERT(queue.push(pushed).ticket);
            }
            for (const std::uint64_t id : test_case.order)
            {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(test_case.name, id, queue.pop()->id);
            }
            CPPUNIT_ASSERT(!queue.pop());
        }
    }

    /// Guards against a customer that gets a larger share by sending more, and against ignored weights.
    void weights_are_respected()
    {
        const std::map<tenant_id, double> weights{{1, 4.0}, {2, 2.0}, {3, 1.0}, {4, 0.5}};
        fair_queue queue{{.capacity = 2000, .class_capacity = {0, 0, 2000, 0}}};
        std::uint64_t id = 0;
        for (const auto& [tenant, weight] : weights)
        {
            for (int i = 0; i < 400; ++i)
            {
                CPPUNIT_ASSERT(queue.push(call(++id, priority_class::normal, tenant, 0, weight)).ticket);
            }
        }
        std::map<tenant_id, double> served;
        for (int i = 0; i < 450; ++i)
        {
            served[queue.pop()->tenant] += 1.0;
        }
        for (const auto& [tenant, weight] : weights)
        {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(450.0 * weight / 7.5, served[tenant], 4.0);
        }
    }

    /// Guards against normal and bulk calls that wait for as long as critical ones keep coming.
    void no_class_starves()
    {
        fair_queue queue;
        std::array<double, core::priority_class_count> served{};
        std::uint64_t id = 0;
        for (int i = 0; i < 2000; ++i)
        {
            for (std::size_t cls = 0; cls < core::priority_class_count; ++cls)
            {
                while (queue.size(static_cast<priority_class>(cls)) < 10)
                {
                    queue.push(call(++id, static_cast<priority_class>(cls)));
                }
            }
            served[static_cast<std::size_t>(queue.pop()->position.cls)] += 1.0;
        }
        for (std::size_t cls = 1; cls < served.size(); ++cls)
        {
            CPPUNIT_ASSERT(served[cls] >= 2000.0 * queue_minimum_shares[cls] * 0.95);
        }
        CPPUNIT_ASSERT(served[0] >= 1400.0);
    }

    /// Guards against a full queue that evicts important calls or those of customers within their share.
    void eviction()
    {
        const queue_options small{.capacity = 4, .class_capacity = {4, 4, 4, 4}, .reserved = {0, 0, 1, 0}};
        struct table_case
        {
            std::string name;
            std::vector<queued_call> present;
            queued_call incoming;
            std::uint64_t evicted; ///< Zero when the incoming call is refused.
        };
        const auto normal = priority_class::normal;
        const std::vector<table_case> cases{
            {"least important class",
             {call(1, priority_class::critical), call(2, normal), call(3, normal),
              call(4, priority_class::bulk)},
             call(5, priority_class::critical),
             4},
            {"tenant most over its share, newest call",
             {call(1, normal, 1), call(2, normal, 1), call(3, normal, 1), call(4, normal, 2)},
             call(5, normal, 2),
             3},
            {"over its share itself",
             {call(1, normal, 1), call(2, normal, 1), call(3, normal, 1), call(4, normal, 2)},
             call(5, normal, 1),
             0},
            {"weight counts",
             {call(1, normal, 1, 0, 4.0), call(2, normal, 1, 0, 4.0), call(3, normal, 2), call(4, normal, 2)},
             call(5, normal, 1, 0, 4.0),
             4},
            {"less important than all",
             {call(1, normal), call(2, normal), call(3, normal), call(4, normal)},
             call(5, priority_class::bulk),
             0},
            {"consumed work stays",
             {call(1, normal, 1, 1), call(2, normal, 1, 1), call(3, normal, 1, 1), call(4, normal, 2)},
             call(5, normal, 3, 1),
             4},
            {"reserved place stays",
             {call(1, priority_class::critical, 1), call(2, priority_class::critical, 1),
              call(3, priority_class::critical, 1), call(4, normal)},
             call(5, priority_class::critical, 2),
             3},
        };
        for (const table_case& test_case : cases)
        {
            fair_queue queue{small};
            for (const queued_call& pushed : test_case.present)
            {
                queue.push(pushed);
            }
            const push_result result = queue.push(test_case.incoming);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(test_case.name, test_case.evicted != 0, result.ticket.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(test_case.name, test_case.evicted,
                                         result.evicted ? result.evicted->id : 0);
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, queue.size());
        }
    }

    /// Guards against running calls that cannot be answered before their deadline.
    void late_calls_expire()
    {
        fair_queue queue;
        for (const std::int64_t ms : {300, 100, 200})
        {
            queued_call added = call(static_cast<std::uint64_t>(ms), priority_class::normal);
            added.latest_start = at(ms);
            queue.push(added);
        }
        CPPUNIT_ASSERT(!queue.expire(at(100)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, queue.expire(at(250))->id);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, queue.expire(at(250))->id);
        CPPUNIT_ASSERT(!queue.expire(at(250)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, queue.pop()->id);
    }

    /// Guards against running cancelled calls, and against a stale ticket that cancels another call.
    void cancelled_calls_leave()
    {
        fair_queue queue;
        const queue_ticket first = *queue.push(call(1, priority_class::normal)).ticket;
        const queue_ticket second = *queue.push(call(2, priority_class::normal)).ticket;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.remove(first)->id);
        CPPUNIT_ASSERT(!queue.remove(first));
        CPPUNIT_ASSERT(queue.push(call(3, priority_class::normal)).ticket->index == first.index);
        CPPUNIT_ASSERT(!queue.remove(first));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop()->id);
        CPPUNIT_ASSERT(!queue.remove(second));
    }

    /// Guards against lost or duplicated calls and exceeded bounds, in any order of events.
    void every_call_leaves_once()
    {
        const queue_options options{
            .capacity = 40, .class_capacity = {20, 20, 20, 10}, .reserved = {0, 0, 4, 2}};
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            std::cout << " seed " << seed;
            core::random_source random{seed};
            fair_queue queue{options};
            std::map<std::uint64_t, queue_ticket> waiting;
            const auto erase_waiting = [&](const std::optional<queued_call>& removed)
            { CPPUNIT_ASSERT(!removed || waiting.erase(removed->id) == 1); };
            for (std::int64_t step = 1; step < 20000; ++step)
            {
                const std::uint64_t event = random.below(10);
                if (event < 5)
                {
                    queued_call added =
                        call(static_cast<std::uint64_t>(step), static_cast<priority_class>(random.below(4)),
                             static_cast<tenant_id>(random.below(6)),
                             static_cast<std::uint32_t>(random.below(2)), 0.5 + random.uniform());
                    added.latest_start = at(step + static_cast<std::int64_t>(random.below(100)));
                    const push_result result = queue.push(added);
                    erase_waiting(result.evicted);
                    if (result.ticket)
                    {
                        waiting.emplace(added.id, *result.ticket);
                    }
                }
                else if (event < 8)
                {
                    const bool empty = waiting.empty();
                    const auto popped = queue.pop();
                    CPPUNIT_ASSERT(popped.has_value() != empty);
                    erase_waiting(popped);
                }
                else if (event < 9)
                {
                    erase_waiting(queue.expire(at(step)));
                }
                else if (!waiting.empty())
                {
                    erase_waiting(queue.remove(waiting.begin()->second));
                }
                CPPUNIT_ASSERT_EQUAL(waiting.size(), queue.size());
                CPPUNIT_ASSERT(queue.size() <= options.capacity);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_queue_test);

} // namespace laburnumreach::overload
