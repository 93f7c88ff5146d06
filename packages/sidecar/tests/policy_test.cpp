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

/// Guards against work above a call being wasted because a new or less important call took its slot.
class slot_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_queue_test);
    CPPUNIT_TEST(nested_calls_then_importance_then_age);
    CPPUNIT_TEST(expired_call_leaves_instead_of_running);
    CPPUNIT_TEST(full_queue_gives_up_the_newest_of_the_least_important);
    CPPUNIT_TEST(withdrawn_call_never_starts);
    CPPUNIT_TEST(callers_are_served_while_nested_calls_queue);
    CPPUNIT_TEST(wait_is_foreseen);
    CPPUNIT_TEST_SUITE_END();

public:
    void nested_calls_then_importance_then_age()
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

    void expired_call_leaves_instead_of_running()
    {
        slot_queue queue;
        queue.push(call(1, 0, false));
        CPPUNIT_ASSERT(!queue.pop_expired(start + 999ms));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.pop_expired(start + 1s)->key);
        CPPUNIT_ASSERT(!queue.pop());
    }

    void full_queue_gives_up_the_newest_of_the_least_important()
    {
        slot_queue queue;
        queue.push(call(1, 2, false, 0ms));
        queue.push(call(2, 2, false, 1ms));
        queue.push(call(3, 0, false, 2ms));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop_least_important()->key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.size());
    }

    void withdrawn_call_never_starts()
    {
        slot_queue queue;
        queue.push(call(1, 0, false));
        CPPUNIT_ASSERT(queue.remove(1));
        CPPUNIT_ASSERT(!queue.remove(1));
        CPPUNIT_ASSERT(!queue.pop());
        CPPUNIT_ASSERT(!queue.oldest_arrival());
    }

    /// The last service of racm-sul at its worst: nested calls alone ask for 1.1 times the starts for 10 s,
    /// and 150 callers a second address the service itself, with 400 ms to wait. 1 start in 1 ms.
    void callers_are_served_while_nested_calls_queue()
    {
        slot_queue queue;
        std::uint64_t key = 0;
        int callers = 0;
        int callers_served = 0;
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
                ++callers;
                waiting_call direct = call(++key, 1, false, std::chrono::milliseconds{ms});
                direct.latest_start = direct.arrived + 376ms;
                queue.push(direct);
            }
            while (queue.pop_expired(start + std::chrono::milliseconds{ms}))
            {
            }
            const std::optional<waiting_call> next = queue.pop();
            callers_served += next->nested ? 0 : 1;
            nested_served += next->nested ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(callers_served), callers_served > 0.95 * callers);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(nested_served), nested_served > 8'000);
    }

    void wait_is_foreseen()
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

/// Guards against callers that come back together, or too late for an answer within the objective.
class retry_advice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_advice_test);
    CPPUNIT_TEST(callers_come_back_spread_and_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void callers_come_back_spread_and_in_time()
    {
        CPPUNIT_ASSERT(advised_retry_delay(1s, 0.0) == 150ms);
        CPPUNIT_ASSERT(advised_retry_delay(1s, 0.5) == 300ms);
        CPPUNIT_ASSERT(advised_retry_delay(1s, 0.999) < 450ms);
        CPPUNIT_ASSERT(advised_retry_delay(100ms, 0.0) == 20ms);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(retry_advice_test);

/// Guards against calls that wait in their own zone while another has room, and against paid bytes between
/// zones without need.
class instance_choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_choice_test);
    CPPUNIT_TEST(own_zone_while_it_has_room);
    CPPUNIT_TEST(spills_when_the_own_zone_queues);
    CPPUNIT_TEST(large_bodies_stay_longer);
    CPPUNIT_TEST(no_candidate);
    CPPUNIT_TEST(uneven_zones_share_a_burst);
    CPPUNIT_TEST(very_slow_instance_gets_little);
    CPPUNIT_TEST(other_mix_of_routes_is_no_slowness);
    CPPUNIT_TEST_SUITE_END();

public:
    void own_zone_while_it_has_room()
    {
        const std::vector<choice_candidate> candidates{{.same_zone = false, .slots = 30, .load = 0},
                                                       {.same_zone = true, .slots = 30, .load = 26}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *choose_instance(candidates, {}));
    }

    void spills_when_the_own_zone_queues()
    {
        const std::vector<choice_candidate> candidates{{.same_zone = false, .slots = 30, .load = 20},
                                                       {.same_zone = true, .slots = 30, .load = 33}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *choose_instance(candidates, {}));
    }

    void large_bodies_stay_longer()
    {
        const std::vector<choice_candidate> candidates{{.same_zone = false, .slots = 30, .load = 20},
                                                       {.same_zone = true, .slots = 30, .load = 33}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *choose_instance(candidates, large_body_choice));
    }

    void no_candidate() { CPPUNIT_ASSERT(!choose_instance({}, {})); }

    /// One of three instances runs twelve times as long as the others, longer than the calls have time. With
    /// equal load per slot it got a third of the calls, and all of them failed.
    void very_slow_instance_gets_little()
    {
        std::array<double, 3> loads{};
        std::array<int, 3> chosen{};
        constexpr std::array<double, 3> run_ms{60, 720, 60};
        for (int turn = 0; turn < 1000; ++turn) // One for each millisecond.
        {
            std::vector<choice_candidate> candidates;
            for (std::size_t index = 0; index < 3; ++index)
            {
                loads[index] = std::max(0.0, loads[index] - std::min(loads[index], 40.0) / run_ms[index]);
                candidates.push_back(
                    {.same_zone = index == 1, .slots = 40, .load = loads[index], .run_ms = run_ms[index]});
            }
            const std::size_t best = *choose_instance(candidates, {});
            loads[best] += 1;
            ++chosen[best];
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(chosen[1]), chosen[1] < 50);
    }

    void other_mix_of_routes_is_no_slowness()
    {
        const std::vector<choice_candidate> candidates{
            {.same_zone = true, .slots = 30, .load = 10, .run_ms = 200},
            {.same_zone = false, .slots = 30, .load = 10, .run_ms = 100}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *choose_instance(candidates, {}));
    }

    /// The pattern of a peak: one zone has more traffic than its only instance can serve, two have less.
    void uneven_zones_share_a_burst()
    {
        std::array<double, 3> loads{};
        constexpr std::array<int, 3> calls_of_zone{44, 20, 20};
        for (int turn = 0; turn < 44; ++turn)
        {
            for (std::size_t zone = 0; zone < 3; ++zone)
            {
                if (turn >= calls_of_zone[zone])
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

/// Guards against a storm of repeats when many instances reject at once.
class repeat_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(repeat_budget_test);
    CPPUNIT_TEST(stays_within_ratio_and_slack_in_every_window);
    CPPUNIT_TEST_SUITE_END();

public:
    void stays_within_ratio_and_slack_in_every_window()
    {
        const retry_budget_options options{.ratio = 0.1, .slack = 2, .window = 10s};
        retry_budget budget;
        std::vector<core::time_point> repeats;
        constexpr int requests_per_second = 100;
        for (int step = 0; step < 30 * requests_per_second; ++step)
        {
            const core::time_point now = start + step * (1000ms / requests_per_second);
            budget.record_request(now);
            if (budget.try_take(options, now))
            {
                repeats.push_back(now);
            }
        }
        for (const core::time_point begin : repeats)
        {
            const auto within =
                std::count_if(repeats.begin(), repeats.end(),
                              [begin](core::time_point at) { return at >= begin && at < begin + 10s; });
            // The window moves in parts of a tenth.
            CPPUNIT_ASSERT(within <= static_cast<long>(1.1 * (0.1 * 1000 + 2)) + 1);
        }
        CPPUNIT_ASSERT(repeats.size() > 250);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(repeat_budget_test);

/// Guards against a split of traffic that strays from its weights.
class weighted_round_robin_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(weighted_round_robin_test);
    CPPUNIT_TEST(keeps_the_shares);
    CPPUNIT_TEST_SUITE_END();

public:
    void keeps_the_shares()
    {
        const std::vector<weighted_service> choices{{"a", 90}, {"b", 10}, {"c", 0}};
        weighted_round_robin rotation;
        std::map<std::string, int> counts;
        for (int request = 0; request < 1000; ++request)
        {
            ++counts[rotation.next(choices)];
        }
        CPPUNIT_ASSERT_EQUAL(900, counts["a"]);
        CPPUNIT_ASSERT_EQUAL(100, counts["b"]);
        CPPUNIT_ASSERT_EQUAL(0, counts["c"]);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(weighted_round_robin_test);

/// Guards against routes being blamed for calls that other routes on the same instance make.
class call_ratio_estimator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(call_ratio_estimator_test);
    CPPUNIT_TEST(separates_routes_on_one_instance);
    CPPUNIT_TEST_SUITE_END();

public:
    void separates_routes_on_one_instance()
    {
        call_ratio_estimator meter;
        core::random_source random{7};
        for (int interval = 0; interval < 200; ++interval)
        {
            const auto uploads = static_cast<std::uint32_t>(random.below(8));
            const auto lookups = static_cast<std::uint32_t>(random.below(40));
            meter.add({{"upload", uploads}, {"lookup", lookups}}, {{"table", 4 * lookups}});
        }
        double of_lookup = 0;
        for (const call_ratio& ratio : meter.ratios())
        {
            CPPUNIT_ASSERT(ratio.parent_route == "lookup" || ratio.calls_per_run < 0.5);
            of_lookup = ratio.parent_route == "lookup" ? ratio.calls_per_run : of_lookup;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, of_lookup, 0.5);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(call_ratio_estimator_test);

} // namespace laburnumreach::sidecar
