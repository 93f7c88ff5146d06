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
    CPPUNIT_TEST(draining_and_removed_get_nothing);
    CPPUNIT_TEST(connect_failures_eject_for_a_time);
    CPPUNIT_TEST(new_instance_is_warmed_up);
    CPPUNIT_TEST(failing_fast_does_not_attract);
    CPPUNIT_TEST(spills_when_the_zone_is_short);
    CPPUNIT_TEST(retry_goes_elsewhere);
    CPPUNIT_TEST_SUITE_END();

    core::random_source random{1};
    core::reason why = core::reason::none;

    std::optional<instance_id> pick(instance_selector& selector, std::int64_t ms, pick_request request = {})
    {
        return selector.pick(at(ms), request, this->random, this->why);
    }

    static instance_selector three(std::vector<bool> same_zone = {true, true, true})
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
    /// Guards against new work for a leaving instance.
    void draining_and_removed_get_nothing()
    {
        instance_selector selector = three();
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

    /// Guards against calls to a dead instance, and against one that comes back to full load at once.
    void connect_failures_eject_for_a_time()
    {
        instance_selector selector = three();
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

    /// Guards against a herd of calls to an instance whose latency is not known yet.
    void new_instance_is_warmed_up()
    {
        instance_selector selector = three();
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

    /// Guards against an instance that fails at once and thereby looks idle and fast.
    void failing_fast_does_not_attract()
    {
        instance_selector selector = three();
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
    void spills_when_the_zone_is_short()
    {
        struct table_case
        {
            load_feedback in_zone;
            bool spills;
        };
        const std::vector<table_case> cases{
            {{}, false},
            {{.own_level = 10}, false},
            {{.own_level = 300}, true},
            {{.queue_delay = milliseconds{50}}, true},
        };
        for (const table_case& tried : cases)
        {
            instance_selector selector = three({true, false, false});
            selector.record(at(0), 0, tried.in_zone);
            const pick_request request{.position = {core::priority_class::normal, 10}};
            CPPUNIT_ASSERT_EQUAL(tried.spills, *this->pick(selector, 1, request) != 0);
        }
        instance_selector shedding = three();
        for (instance_id id = 0; id < 3; ++id)
        {
            shedding.record(at(0), id, {.own_level = 300});
        }
        CPPUNIT_ASSERT(!this->pick(shedding, 1, {.position = {core::priority_class::normal, 10}}));
        CPPUNIT_ASSERT(this->why == core::reason::overloaded);
        CPPUNIT_ASSERT(this->pick(shedding, 1, {.position = {core::priority_class::critical, 10}}));
    }

    /// Guards against a second attempt at the instance that just failed.
    void retry_goes_elsewhere()
    {
        instance_selector selector = three({true, false, false});
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
