#include "laburnumreach/sidecar/body_memory.hpp"
#include "laburnumreach/sidecar/call_ratio_estimator.hpp"
#include "laburnumreach/sidecar/instance_choice.hpp"
#include "laburnumreach/sidecar/retry_advice.hpp"
#include "laburnumreach/sidecar/retry_budget.hpp"
#include "laburnumreach/sidecar/slot_queue.hpp"
#include "laburnumreach/sidecar/weighted_round_robin.hpp"

#include "laburnumreach/core/random_source.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1h};

waiting_call call(std::uint64_t key, int priority, bool nested, core::duration arrived = 0ms)
{
    return {.key = key,
            .priority = priority,
            .nested = nested,
            .arrived = start + arrived,
            .latest_start = start + arrived + 1s};
}

} // namespace

/// Guards against wasting the work done before a nested call because a new or less important call took
/// its slot.
class slot_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_queue_test);
    CPPUNIT_TEST(orders_by_nesting_then_priority_then_age);
    CPPUNIT_TEST(expired_call_is_removed_without_running);
    CPPUNIT_TEST(least_important_newest_call_is_removed_first);
    CPPUNIT_TEST(removed_call_never_starts);
    CPPUNIT_TEST(direct_calls_are_served_while_nested_calls_queue);
    CPPUNIT_TEST(expected_wait_counts_the_calls_ahead);
    CPPUNIT_TEST_SUITE_END();

public:
    void orders_by_nesting_then_priority_then_age()
    {
        slot_queue queue;
        queue.push(call(1, 2, false, 0ms));
        queue.push(call(2, 0, false, 2ms));
        queue.push(call(3, 0, false, 1ms));
        queue.push(call(4, 5, true, 3ms));
        std::vector<std::uint64_t> order;
        while (const auto next = queue.pop())
        {
            order.push_back(next->key);
        }
        CPPUNIT_ASSERT((order == std::vector<std::uint64_t>{4, 3, 2, 1}));
    }

    void expired_call_is_removed_without_running()
    {
        slot_queue queue;
        queue.push(call(1, 0, false));
        CPPUNIT_ASSERT(!queue.pop_expired(start + 999ms));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.pop_expired(start + 1s)->key);
        CPPUNIT_ASSERT(!queue.pop());
    }

    void least_important_newest_call_is_removed_first()
    {
        slot_queue queue;
        queue.push(call(1, 2, false, 0ms));
        queue.push(call(2, 2, false, 1ms));
        queue.push(call(3, 0, false, 2ms));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop_least_important()->key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.size());
    }

    void removed_call_never_starts()
    {
        slot_queue queue;
        queue.push(call(1, 0, false));
        CPPUNIT_ASSERT(queue.remove(1));
        CPPUNIT_ASSERT(!queue.remove(1));
        CPPUNIT_ASSERT(!queue.pop());
        CPPUNIT_ASSERT(!queue.oldest_arrival());
    }

    /// Peak load of the last service of the call chains in the deployment racm-sul: for 10 s, nested calls
    /// alone need 1.1 times the available starts, one per 1 ms, and about 150 direct calls per second arrive,
    /// each with 400 ms to wait.
    void direct_calls_are_served_while_nested_calls_queue()
    {
        slot_queue queue;
        std::uint64_t key = 0;
        int direct_calls = 0;
        int direct_served = 0;
        int nested_served = 0;
        for (int ms = 0; ms < 10'000; ++ms)
        {
            queue.push(call(++key, 0, true, std::chrono::milliseconds{ms}));
            if (ms % 10 == 0)
            {
                queue.push(call(++key, 0, true, std::chrono::milliseconds{ms}));
            }
            if (ms % 7 == 0)
            {
                ++direct_calls;
                waiting_call direct = call(++key, 1, false, std::chrono::milliseconds{ms});
                direct.latest_start = direct.arrived + 376ms;
                queue.push(direct);
            }
            while (queue.pop_expired(start + std::chrono::milliseconds{ms}))
            {
            }
            const std::optional<waiting_call> next = queue.pop();
            direct_served += next->nested ? 0 : 1;
            nested_served += next->nested ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(direct_served), direct_served > 0.95 * direct_calls);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(nested_served), nested_served > 8'000);
    }

    void expected_wait_counts_the_calls_ahead()
    {
        slot_queue queue;
        CPPUNIT_ASSERT(queue.expected_wait(call(1, 1, false), 1ms) == 1ms);
        queue.push(call(2, 0, false));
        queue.push(call(3, 2, false));
        CPPUNIT_ASSERT(queue.expected_wait(call(1, 1, false), 1ms) == 2ms);
        queue.push(call(4, 0, true));
        CPPUNIT_ASSERT(queue.expected_wait(call(1, 1, false), 1ms) == 8ms);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(slot_queue_test);

/// Guards against callers that retry simultaneously, or too late for an answer within the latency objective.
class retry_advice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_advice_test);
    CPPUNIT_TEST(retries_are_jittered_and_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void retries_are_jittered_and_in_time()
    {
        CPPUNIT_ASSERT(advised_retry_delay(1s, 0.0) == 150ms);
        CPPUNIT_ASSERT(advised_retry_delay(1s, 0.5) == 300ms);
        CPPUNIT_ASSERT(advised_retry_delay(1s, 0.999) < 450ms);
        CPPUNIT_ASSERT(advised_retry_delay(100ms, 0.0) == 20ms);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(retry_advice_test);

/// Guards against calls that queue in their own zone while another one has free slots, and against
/// unnecessary traffic between zones, which is charged.
class instance_choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_choice_test);
    CPPUNIT_TEST(prefers_the_own_zone_while_it_has_capacity);
    CPPUNIT_TEST(uses_another_zone_when_the_own_zone_queues);
    CPPUNIT_TEST(large_bodies_stay_in_the_zone_longer);
    CPPUNIT_TEST(no_candidates_give_no_choice);
    CPPUNIT_TEST(uneven_zones_share_a_burst);
    CPPUNIT_TEST(very_slow_instance_gets_few_calls);
    CPPUNIT_TEST(instance_with_slower_routes_is_not_slow);
    CPPUNIT_TEST_SUITE_END();

public:
    void prefers_the_own_zone_while_it_has_capacity()
    {
        const std::vector<choice_candidate> candidates{{.same_zone = false, .slots = 30, .load = 0},
                                                       {.same_zone = true, .slots = 30, .load = 26}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *choose_instance(candidates, {}));
    }

    void uses_another_zone_when_the_own_zone_queues()
    {
        const std::vector<choice_candidate> candidates{{.same_zone = false, .slots = 30, .load = 20},
                                                       {.same_zone = true, .slots = 30, .load = 33}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *choose_instance(candidates, {}));
    }

    void large_bodies_stay_in_the_zone_longer()
    {
        const std::vector<choice_candidate> candidates{{.same_zone = false, .slots = 30, .load = 20},
                                                       {.same_zone = true, .slots = 30, .load = 33}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *choose_instance(candidates, large_body_choice));
    }

    void no_candidates_give_no_choice() { CPPUNIT_ASSERT(!choose_instance({}, {})); }

    /// One of three instances takes twelve times as long as the others, which exceeds the deadline of the
    /// calls. Balanced by load per slot, it got a third of the calls, and all of them failed.
    void very_slow_instance_gets_few_calls()
    {
        std::array<double, 3> loads{};
        std::array<int, 3> chosen{};
        constexpr std::array<double, 3> run_ms{60, 720, 60};
        for (int ms = 0; ms < 1000; ++ms) // One call per millisecond.
        {
            std::vector<choice_candidate> candidates;
            for (std::size_t index = 0; index < 3; ++index)
            {
                loads[index] = std::max(0.0, loads[index] - std::min(loads[index], 40.0) / run_ms[index]);
                candidates.push_back({.same_zone = index == 1,
                                      .slots = 40,
                                      .load = loads[index],
                                      .mean_run_ms = run_ms[index]});
            }
            const std::size_t best = *choose_instance(candidates, {});
            loads[best] += 1;
            ++chosen[best];
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(chosen[1]), chosen[1] < 50);
    }

    void instance_with_slower_routes_is_not_slow()
    {
        const std::vector<choice_candidate> candidates{
            {.same_zone = true, .slots = 30, .load = 10, .mean_run_ms = 200},
            {.same_zone = false, .slots = 30, .load = 10, .mean_run_ms = 100}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *choose_instance(candidates, {}));
    }

    /// At a peak, one zone has more traffic than its only instance can serve, and two zones have less.
    void uneven_zones_share_a_burst()
    {
        std::array<double, 3> loads{};
        constexpr std::array<int, 3> calls_of_zone{44, 20, 20};
        for (int round = 0; round < 44; ++round)
        {
            for (std::size_t zone = 0; zone < 3; ++zone)
            {
                if (round >= calls_of_zone[zone])
                {
                    continue;
                }
                std::vector<choice_candidate> candidates;
                for (std::size_t other = 0; other < 3; ++other)
                {
                    candidates.push_back({.same_zone = other == zone, .slots = 30, .load = loads[other]});
                }
                loads[*choose_instance(candidates, {})] += 1;
            }
        }
        CPPUNIT_ASSERT(*std::max_element(loads.begin(), loads.end()) <= 30);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(instance_choice_test);

/// Guards against a retry storm when many instances reject requests at the same time.
class retry_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_budget_test);
    CPPUNIT_TEST(stays_within_ratio_and_slack_in_every_window);
    CPPUNIT_TEST(longer_window_does_not_bring_back_old_requests);
    CPPUNIT_TEST(changed_window_keeps_the_retries_that_lie_in_it);
    CPPUNIT_TEST_SUITE_END();

public:
    void stays_within_ratio_and_slack_in_every_window()
    {
        const retry_budget_options options{.ratio = 0.1, .slack = 2, .window = 10s};
        retry_budget budget;
        std::vector<core::time_point> retries;
        constexpr int requests_per_second = 100;
        for (int step = 0; step < 30 * requests_per_second; ++step)
        {
            const core::time_point now = start + step * (1000ms / requests_per_second);
            budget.record_request(now);
            if (budget.try_take(options, now))
            {
                retries.push_back(now);
            }
        }
        for (const core::time_point begin : retries)
        {
            const auto within =
                std::count_if(retries.begin(), retries.end(),
                              [begin](core::time_point at) { return at >= begin && at < begin + 10s; });
            // The window slides in steps of a tenth of its length.
            CPPUNIT_ASSERT(within <= static_cast<long>(1.1 * (0.1 * 1000 + 2)) + 1);
        }
        CPPUNIT_ASSERT(retries.size() > 250);
    }

    void longer_window_does_not_bring_back_old_requests()
    {
        const retry_budget_options before{.ratio = 0.1, .slack = 0, .window = 1s};
        retry_budget budget;
        for (int request = 0; request < 1000; ++request)
        {
            budget.record_request(start);
        }
        CPPUNIT_ASSERT(budget.try_take(before, start));
        const retry_budget_options after{.ratio = 0.1, .slack = 0, .window = 10s};
        CPPUNIT_ASSERT(!budget.try_take(after, start + 1min));
    }

    void changed_window_keeps_the_retries_that_lie_in_it()
    {
        for (const core::duration next : {4s, 10s, 25s})
        {
            const retry_budget_options before{.ratio = 0, .slack = 2, .window = 10s};
            const retry_budget_options after{.ratio = 0, .slack = 2, .window = next};
            retry_budget budget;
            CPPUNIT_ASSERT(budget.try_take(before, start));
            CPPUNIT_ASSERT(budget.try_take(before, start));
            CPPUNIT_ASSERT(!budget.try_take(before, start + 1s));
            CPPUNIT_ASSERT(!budget.try_take(after, start + 2s));
            CPPUNIT_ASSERT(budget.try_take(after, start + next + 1s));
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_test);

/// Guards against a distribution of traffic that deviates from the weights.
class weighted_round_robin_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(weighted_round_robin_test);
    CPPUNIT_TEST(keeps_the_weights);
    CPPUNIT_TEST_SUITE_END();

public:
    void keeps_the_weights()
    {
        const std::vector<weighted_service> choices{{"a", 90}, {"b", 10}, {"c", 0}};
        weighted_round_robin round_robin;
        std::map<std::string, int> counts;
        for (int request = 0; request < 1000; ++request)
        {
            ++counts[round_robin.next(choices)];
        }
        CPPUNIT_ASSERT_EQUAL(900, counts["a"]);
        CPPUNIT_ASSERT_EQUAL(100, counts["b"]);
        CPPUNIT_ASSERT_EQUAL(0, counts["c"]);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(weighted_round_robin_test);

/// Guards against attributing calls to the wrong one of several routes on an instance.
class call_ratio_estimator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(call_ratio_estimator_test);
    CPPUNIT_TEST(attributes_calls_to_the_right_route);
    CPPUNIT_TEST_SUITE_END();

public:
    void attributes_calls_to_the_right_route()
    {
        call_ratio_estimator estimator;
        core::random_source random{7};
        for (int interval = 0; interval < 200; ++interval)
        {
            const auto uploads = static_cast<std::uint32_t>(random.below(8));
            const auto lookups = static_cast<std::uint32_t>(random.below(40));
            estimator.add({{"upload", uploads}, {"lookup", lookups}}, {{"table", 4 * lookups}});
        }
        double lookup_ratio = 0;
        for (const call_ratio& ratio : estimator.ratios())
        {
            CPPUNIT_ASSERT(ratio.parent_route == "lookup" || ratio.calls_per_run < 0.5);
            lookup_ratio = ratio.parent_route == "lookup" ? ratio.calls_per_run : lookup_ratio;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, lookup_ratio, 0.5);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(call_ratio_estimator_test);

/// Guards against a process that grows beyond its VM, and against one that turns urgent requests away first.
class body_memory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(body_memory_test);
    CPPUNIT_TEST(refuses_the_least_urgent_requests_first);
    CPPUNIT_TEST(refuses_everything_at_the_limit);
    CPPUNIT_TEST_SUITE_END();

public:
    void refuses_the_least_urgent_requests_first()
    {
        body_memory memory{1000};
        memory.update(700);
        CPPUNIT_ASSERT(!memory.should_refuse(0.0));
        memory.update(900);
        CPPUNIT_ASSERT(memory.should_refuse(0.0));
        CPPUNIT_ASSERT(memory.should_refuse(0.5));
        CPPUNIT_ASSERT(!memory.should_refuse(1.0));
    }

    void refuses_everything_at_the_limit()
    {
        body_memory memory{1000};
        memory.update(1000);
        CPPUNIT_ASSERT(memory.should_refuse(1.0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, memory.free_bytes());
        memory.set_limit(2000);
        CPPUNIT_ASSERT(!memory.should_refuse(0.0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, memory.free_bytes());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(body_memory_test);

} // namespace laburnumreach::sidecar
