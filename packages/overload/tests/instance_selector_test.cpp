#include "laburnumreach/overload/instance_selector.hpp"

#include "test_time.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <vector>

namespace laburnumreach::overload
{

class instance_selector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_selector_test);
    CPPUNIT_TEST(draining_and_removed_get_no_calls);
    CPPUNIT_TEST(connect_failures_eject_for_a_time);
    CPPUNIT_TEST(new_instance_is_warmed_up);
    CPPUNIT_TEST(failing_fast_does_not_attract_calls);
    CPPUNIT_TEST(other_zones_are_used_when_the_own_is_saturated);
    CPPUNIT_TEST(retry_avoids_the_failed_instance);
    CPPUNIT_TEST_SUITE_END();

    core::random_source random{1};
    core::reason why = core::reason::none;

    std::optional<instance_id> pick(instance_selector& selector, std::int64_t ms, pick_request request = {})
    {
        return selector.pick(at(ms), request, this->random, this->why);
    }

    static instance_selector three_instances(std::vector<bool> same_zone = {true, true, true})
    {
        instance_selector selector;
        for (instance_id id = 0; id < 3; ++id)
        {
            selector.set_instance(at(0), {.id = id, .same_zone = same_zone[id], .slots = 100});
        }
        return selector;
    }

    void finish(instance_selector& selector, std::int64_t ms, instance_id id, attempt_result end,
                core::duration latency = milliseconds{10})
    {
        selector.finish(at(ms), id, end, latency, this->random);
    }

public:
    /// Guards against new calls to a draining or removed instance.
    void draining_and_removed_get_no_calls()
    {
        instance_selector selector = three_instances();
        selector.set_instance(at(0), {.id = 0, .slots = 100, .draining = true});
        selector.remove_instance(1);
        for (int i = 0; i < 50; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(instance_id{2}, *this->pick(selector, i));
        }
        this->finish(selector, 60, 2, attempt_result::draining);
        CPPUNIT_ASSERT(!this->pick(selector, 61));
        CPPUNIT_ASSERT(this->why == core::reason::no_instance);
    }

    /// Guards against calls to an unreachable instance, and against full load at once when it returns.
    void connect_failures_eject_for_a_time()
    {
        instance_selector selector = three_instances();
        selector.remove_instance(1);
        selector.remove_instance(2);
        CPPUNIT_ASSERT(this->pick(selector, 0));
        this->finish(selector, 1, 0, attempt_result::connect_failed);
        CPPUNIT_ASSERT(!this->pick(selector, 300));
        CPPUNIT_ASSERT(this->pick(selector, 700));
        CPPUNIT_ASSERT(!this->pick(selector, 701)); // probation: one call at a time
        this->finish(selector, 710, 0, attempt_result::connect_failed);
        CPPUNIT_ASSERT(!this->pick(selector, 1400)); // twice as long
        CPPUNIT_ASSERT(this->pick(selector, 2000));
        this->finish(selector, 2010, 0, attempt_result::answered);
        CPPUNIT_ASSERT(this->pick(selector, 2011));
        CPPUNIT_ASSERT(this->pick(selector, 2011));
    }

    /// Guards against a burst of calls to a new instance whose latency is not known yet.
    void new_instance_is_warmed_up()
    {
        instance_selector selector = three_instances();
        std::map<instance_id, int> picked;
        for (int i = 0; i < 150; ++i)
        {
            CPPUNIT_ASSERT(this->pick(selector, i));
        }
        selector.set_instance(at(200), {.id = 9, .slots = 100});
        for (int i = 0; i < 100; ++i)
        {
            ++picked[*this->pick(selector, 200)];
        }
        CPPUNIT_ASSERT(picked[9] >= 1);
        CPPUNIT_ASSERT(picked[9] <= 15);
        for (int i = 0; i < 100; ++i)
        {
            ++picked[*this->pick(selector, 6000)];
        }
        CPPUNIT_ASSERT(picked[9] >= 40);
    }

    /// Guards against an instance that attracts calls because it fails at once and so appears idle and fast.
    void failing_fast_does_not_attract_calls()
    {
        instance_selector selector = three_instances();
        std::map<instance_id, int> picked;
        for (int i = 0; i < 3000; ++i)
        {
            const instance_id id = *this->pick(selector, i);
            ++picked[id];
            const bool failing = id == 0;
            this->finish(selector, i, id, failing ? attempt_result::broken : attempt_result::answered,
                         failing ? milliseconds{0} : milliseconds{20});
        }
        CPPUNIT_ASSERT(picked[0] <= 1000);
    }

    /// Guards against refusals while another zone has room, and against leaving the zone without need.
    void other_zones_are_used_when_the_own_is_saturated()
    {
        struct table_case
        {
            load_feedback in_zone;
            bool leaves_zone;
        };
        const std::vector<table_case> cases{
            {{}, false},
            {{.own_level = 10}, false},
            {{.own_level = 300}, true},
            {{.queue_delay = milliseconds{50}}, true},
        };
        for (const table_case& test_case : cases)
        {
            instance_selector selector = three_instances({true, false, false});
            selector.record(at(0), 0, test_case.in_zone);
            const pick_request request{.position = {core::priority_class::normal, 10}};
            CPPUNIT_ASSERT_EQUAL(test_case.leaves_zone, *this->pick(selector, 1, request) != 0);
        }
        instance_selector shedding = three_instances();
        for (instance_id id = 0; id < 3; ++id)
        {
            shedding.record(at(0), id, {.own_level = 300});
        }
        CPPUNIT_ASSERT(!this->pick(shedding, 1, {.position = {core::priority_class::normal, 10}}));
        CPPUNIT_ASSERT(this->why == core::reason::overloaded);
        CPPUNIT_ASSERT(this->pick(shedding, 1, {.position = {core::priority_class::critical, 10}}));
    }

    /// Guards against a retry at the instance that just failed.
    void retry_avoids_the_failed_instance()
    {
        instance_selector selector = three_instances({true, false, false});
        for (int i = 0; i < 50; ++i)
        {
            CPPUNIT_ASSERT(*this->pick(selector, i, {.position = {}, .failed_instance = 0}) != 0);
        }
        selector.remove_instance(1);
        selector.remove_instance(2);
        CPPUNIT_ASSERT_EQUAL(instance_id{0},
                             *this->pick(selector, 60, {.position = {}, .failed_instance = 0}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_selector_test);

} // namespace laburnumreach::overload
