#include "laburnumreach/sidecar/instance_state.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against work for an instance whose departure was acknowledged, by this process or by one before it,
/// and against an instance that gets no work although it leaves no more.
class instance_claim_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_claim_test);
    CPPUNIT_TEST(late_heartbeat_does_not_undo_a_deregistration_after_a_restart);
    CPPUNIT_TEST(late_heartbeat_does_not_undo_a_deregistration_before_any_other_news);
    CPPUNIT_TEST(late_heartbeat_does_not_undo_a_departure_that_an_earlier_process_acknowledged);
    CPPUNIT_TEST(late_heartbeat_does_not_undo_draining_after_a_restart);
    CPPUNIT_TEST(answer_from_before_the_departure_gives_no_work);
    CPPUNIT_TEST(first_process_needs_no_check);
    CPPUNIT_TEST(deregistration_before_the_first_heartbeat_binds_the_first_process_too);
    CPPUNIT_TEST(deregistration_before_the_first_heartbeat_of_a_new_incarnation_binds);
    CPPUNIT_TEST(draining_heartbeat_of_unknown_order_binds);
    CPPUNIT_TEST(check_confirms_the_instance_after_a_restart);
    CPPUNIT_TEST(check_without_a_number_of_slots_confirms_a_heartbeat_only);
    CPPUNIT_TEST(heartbeat_tells_the_start_time_of_a_confirmed_instance);
    CPPUNIT_TEST(new_incarnation_under_the_same_id_gets_work_after_a_departure);
    CPPUNIT_TEST(new_incarnation_gets_work_after_one_that_was_only_known_as_leaving);
    CPPUNIT_TEST(later_incarnations_need_no_check);
    CPPUNIT_TEST(late_heartbeat_of_a_former_instance_does_not_replace_the_running_one);
    CPPUNIT_TEST(heartbeat_of_another_program_does_not_replace_the_instance);
    CPPUNIT_TEST(instance_gets_work_after_its_clock_was_set_back);
    CPPUNIT_TEST(instance_whose_health_checks_fail_is_believed_in_time);
    CPPUNIT_TEST(repeated_deregistration_changes_nothing);
    CPPUNIT_TEST(false_health_answer_does_not_undo_a_departure_of_an_earlier_process);
    CPPUNIT_TEST(recalled_departure_ends_the_work_that_a_false_health_answer_gave);
    CPPUNIT_TEST(false_health_answer_and_late_heartbeat_do_not_undo_a_departure);
    CPPUNIT_TEST(new_incarnation_under_the_old_id_gets_work_after_a_recalled_departure);
    CPPUNIT_TEST(instance_whose_clock_was_set_back_gets_work_after_a_recalled_departure);
    CPPUNIT_TEST(departure_of_a_former_incarnation_does_not_concern_the_running_one);
    CPPUNIT_TEST(draining_with_an_earlier_start_time_binds);
    CPPUNIT_TEST(
        late_draining_of_a_former_incarnation_under_the_same_id_holds_up_the_running_one_until_a_check);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The order of the report: start, health check, deregistration, late heartbeat.
    void late_heartbeat_does_not_undo_a_deregistration_after_a_restart()
    {
        instance_state state = restarted();
        state.confirm(answer("i-1"));
        CPPUNIT_ASSERT(state.accepts_work());
        CPPUNIT_ASSERT(state.deregister("i-1", at(1s)));
        state.apply(beat("i-1", 1000, 5, 2s));
        CPPUNIT_ASSERT(!state.accepts_work());
        state.apply(beat("i-1", 1000, 6, 3s));
        CPPUNIT_ASSERT(!state.accepts_work());
    }

    void late_heartbeat_does_not_undo_a_deregistration_before_any_other_news()
    {
        instance_state state = restarted();
        state.deregister("i-1", at(1s));
        state.apply(beat("i-1", 1000, 5, 2s));
        CPPUNIT_ASSERT(!state.accepts_work());
    }

    void late_heartbeat_does_not_undo_a_departure_that_an_earlier_process_acknowledged()
    {
        instance_state state = restarted();
        CPPUNIT_ASSERT(!state.apply(beat("i-1", 1000, 5, 1s)));
        CPPUNIT_ASSERT(!state.accepts_work());
        CPPUNIT_ASSERT(state.needs_check());
        state.deregister("i-1", at(2s));
        state.apply(beat("i-1", 1000, 6, 3s));
        CPPUNIT_ASSERT(!state.accepts_work());
    }

    void late_heartbeat_does_not_undo_draining_after_a_restart()
    {
        instance_state state = restarted();
        state.apply(beat("i-1", 1000, 7, 1s, true));
        state.apply(beat("i-1", 1000, 6, 2s));
        state.apply(beat("i-1", 1000, 8, 3s));
        CPPUNIT_ASSERT(!state.accepts_work());
        instance_state confirmed = restarted();
        confirmed.confirm(answer("i-1"));
        CPPUNIT_ASSERT(confirmed.apply(beat("i-1", 1000, 7, 1s, true)));
        confirmed.apply(beat("i-1", 1000, 6, 2s));
        CPPUNIT_ASSERT(!confirmed.accepts_work());
    }

    void answer_from_before_the_departure_gives_no_work()
    {
        instance_state state = restarted();
        state.deregister("i-1", at(1s));
        CPPUNIT_ASSERT(!state.confirm(answer("i-1")));
        CPPUNIT_ASSERT(!state.accepts_work());
        instance_state draining = restarted();
        draining.apply(beat("i-1", 1000, 7, 1s, true));
        draining.confirm(answer("i-1"));
        CPPUNIT_ASSERT(!draining.accepts_work());
    }

    void first_process_needs_no_check()
    {
        instance_state state{"a"};
        CPPUNIT_ASSERT(state.apply(beat("i-1", 1000, 1, 0s)));
        CPPUNIT_ASSERT(state.accepts_work() && !state.needs_check());
    }

    void deregistration_before_the_first_heartbeat_binds_the_first_process_too()
    {
        instance_state state{"a"};
        state.deregister("i-1", at(1s));
        state.apply(beat("i-1", 1000, 1, 2s));
        CPPUNIT_ASSERT(!state.accepts_work());
    }

    /// A deregistration names the id only, and the first heartbeat is late.
    void deregistration_before_the_first_heartbeat_of_a_new_incarnation_binds()
    {
        for (const std::string id : {"i-1", "i-2"})
        {
            instance_state state{"a"};
            state.apply(beat("i-1", 1000, 1, 0s));
            state.deregister(id, at(1s));
            CPPUNIT_ASSERT(!state.apply(beat(id, 2000, 1, 2s)));
            CPPUNIT_ASSERT(id != state.instance()->id || !state.accepts_work());
            CPPUNIT_ASSERT(state.needs_check());
            CPPUNIT_ASSERT(state.confirm(answer(id)));
            CPPUNIT_ASSERT(state.accepts_work());
        }
    }

    /// The start time of the known instance is not known yet. Found by the model test.
    void draining_heartbeat_of_unknown_order_binds()
    {
        instance_state state = restarted();
        state.confirm(answer("i-2"));
        state.apply(beat("i-3", 3000, 3, 1s, true));
        state.apply(beat("i-2", 2000, 2, 2s));
        state.apply(beat("i-3", 3000, 1, 3s));
        CPPUNIT_ASSERT(state.instance()->id != "i-3" || !state.accepts_work());
    }

    void check_confirms_the_instance_after_a_restart()
    {
        instance_state state = restarted();
        state.apply(beat("i-1", 1000, 5, 1s));
        CPPUNIT_ASSERT(state.confirm(answer("i-1")));
        CPPUNIT_ASSERT(state.accepts_work() && !state.needs_check());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, state.instance()->started_ms);
    }

    /// Instances of some services do not tell their load.
    void check_without_a_number_of_slots_confirms_a_heartbeat_only()
    {
        instance_state state = restarted();
        instance_heartbeat without_load = answer("i-1");
        without_load.slots = 0;
        CPPUNIT_ASSERT(!state.confirm(without_load));
        CPPUNIT_ASSERT(state.apply(beat("i-1", 1000, 5, 1s)));
        CPPUNIT_ASSERT(state.accepts_work());
        CPPUNIT_ASSERT_EQUAL(10U, state.instance()->slots);
        instance_state left = restarted();
        left.confirm(without_load);
        left.deregister("i-1", at(1s));
        CPPUNIT_ASSERT(!left.apply(beat("i-1", 1000, 5, 2s)));
        CPPUNIT_ASSERT(!left.accepts_work());
    }

    void heartbeat_tells_the_start_time_of_a_confirmed_instance()
    {
        instance_state state = restarted();
        state.confirm(answer("i-1"));
        CPPUNIT_ASSERT(!state.apply(beat("i-1", 1000, 5, 1s)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, state.instance()->started_ms);
        state.apply(beat("i-1", 1000, 4, 2s, true));
        CPPUNIT_ASSERT(state.accepts_work());
    }

    void new_incarnation_under_the_same_id_gets_work_after_a_departure()
    {
        instance_state known = restarted();
        known.confirm(answer("i-1"));
        known.deregister("i-1", at(1s));
        CPPUNIT_ASSERT(!known.apply(beat("i-1", 2000, 1, 5s)));
        CPPUNIT_ASSERT(known.needs_check());
        CPPUNIT_ASSERT(known.confirm(answer("i-1")));
        CPPUNIT_ASSERT(known.accepts_work());
        instance_state unknown = restarted();
        unknown.deregister("i-1", at(1s));
        unknown.apply(beat("i-1", 2000, 1, 5s));
        CPPUNIT_ASSERT(unknown.confirm(answer("i-1")));
        CPPUNIT_ASSERT(unknown.accepts_work());
    }

    void new_incarnation_gets_work_after_one_that_was_only_known_as_leaving()
    {
        instance_state state = restarted();
        state.apply(beat("i-1", 1000, 7, 1s, true));
        // It may be leaving too, and an earlier process may have acknowledged that.
        CPPUNIT_ASSERT(!state.apply(beat("i-2", 2000, 1, 5s)));
        CPPUNIT_ASSERT(!state.accepts_work());
        CPPUNIT_ASSERT(state.confirm(answer("i-2")));
        CPPUNIT_ASSERT(state.accepts_work());
    }

    void later_incarnations_need_no_check()
    {
        instance_state state = restarted();
        state.confirm(answer("i-1"));
        state.apply(beat("i-1", 1000, 5, 1s));
        state.apply(beat("i-1", 1000, 6, 2s, true));
        CPPUNIT_ASSERT(state.apply(beat("i-1", 2000, 1, 5s)));
        CPPUNIT_ASSERT(state.accepts_work());
        CPPUNIT_ASSERT(state.apply(beat("i-2", 3000, 1, 9s)));
        CPPUNIT_ASSERT(state.accepts_work() && !state.needs_check());
    }

    void late_heartbeat_of_a_former_instance_does_not_replace_the_running_one()
    {
        instance_state state = restarted();
        state.confirm(answer("i-2"));
        CPPUNIT_ASSERT(!state.apply(beat("i-1", 1000, 9, 1s)));
        CPPUNIT_ASSERT_EQUAL(std::string{"i-2"}, state.instance()->id);
        CPPUNIT_ASSERT(state.accepts_work() && state.needs_check());
        CPPUNIT_ASSERT(!state.confirm(answer("i-2")));
        CPPUNIT_ASSERT(!state.needs_check());
    }

    void heartbeat_of_another_program_does_not_replace_the_instance()
    {
        instance_state state{"a"};
        state.apply(beat("i-1", 1000, 1, 0s));
        instance_heartbeat odd = beat("x", 9000, 1, 1s);
        odd.service = "other";
        CPPUNIT_ASSERT(!state.apply(odd));
        CPPUNIT_ASSERT(state.accepts_work());
        CPPUNIT_ASSERT(!state.confirm(answer("i-1")));
        // The same with the service of the instance: believed, until the instance is heard again.
        state.apply(beat("x", 9000, 2, 2s));
        state.apply(beat("i-1", 1000, 2, 3s));
        CPPUNIT_ASSERT(state.needs_check());
        CPPUNIT_ASSERT(state.confirm(answer("i-1")));
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, state.instance()->id);
        CPPUNIT_ASSERT(state.accepts_work());
    }

    void instance_gets_work_after_its_clock_was_set_back()
    {
        instance_state state{"a"};
        state.apply(beat("i-1", 5000, 1, 0s));
        state.deregister("i-1", at(1s));
        CPPUNIT_ASSERT(!state.apply(beat("i-2", 4000, 1, 5s)));
        CPPUNIT_ASSERT(state.confirm(answer("i-2")));
        CPPUNIT_ASSERT(state.accepts_work());
    }

    void instance_whose_health_checks_fail_is_believed_in_time()
    {
        instance_state state = restarted();
        std::uint64_t sequence = 5;
        core::duration time = 0s;
        for (; time < instance_state::max_heartbeat_delay; time += 1500ms)
        {
            state.apply(beat("i-1", 1000, ++sequence, time));
            CPPUNIT_ASSERT(!state.accepts_work());
        }
        CPPUNIT_ASSERT(state.apply(beat("i-1", 1000, ++sequence, time)));
        CPPUNIT_ASSERT(state.accepts_work() && !state.needs_check());
    }

    /// Otherwise each one would allow late calls anew.
    void repeated_deregistration_changes_nothing()
    {
        instance_state state{"a"};
        state.apply(beat("i-1", 1000, 1, 0s));
        CPPUNIT_ASSERT(state.deregister("i-1", at(1s)));
        CPPUNIT_ASSERT(!state.deregister("i-1", at(2s)));
        instance_state draining{"a"};
        draining.apply(beat("i-1", 1000, 1, 0s));
        draining.apply(beat("i-1", 1000, 2, 1s, true));
        CPPUNIT_ASSERT(!draining.deregister("i-1", at(2s)));
    }

    /// Review case 12: the process that acknowledged the departure was killed.
    void false_health_answer_does_not_undo_a_departure_of_an_earlier_process()
    {
        instance_state state = restarted();
        state.recall({.instance_id = "i-1", .last_start_ms = 1000});
        for (int count = 0; count < 3; ++count)
        {
            CPPUNIT_ASSERT(!state.confirm(answer("i-1")));
            CPPUNIT_ASSERT(!state.accepts_work());
        }
    }

    void recalled_departure_ends_the_work_that_a_false_health_answer_gave()
    {
        instance_state state = restarted();
        CPPUNIT_ASSERT(state.confirm(answer("i-1")));
        CPPUNIT_ASSERT(state.recall({.instance_id = "i-1", .last_start_ms = 1000}));
        CPPUNIT_ASSERT(!state.accepts_work());
        state.confirm(answer("i-1"));
        CPPUNIT_ASSERT(!state.accepts_work());
        CPPUNIT_ASSERT(!state.recall({.instance_id = "i-1", .last_start_ms = 1000}));
    }

    /// Also without a restart: the start time of the instance was not known when it deregistered.
    void false_health_answer_and_late_heartbeat_do_not_undo_a_departure()
    {
        instance_state recalled = restarted();
        recalled.recall({.instance_id = "i-1", .last_start_ms = 1000});
        instance_state told = restarted();
        told.confirm(answer("i-1"));
        told.deregister("i-1", at(1s), 5000);
        for (instance_state* const state : {&recalled, &told})
        {
            state->apply(beat("i-1", 1000, 5, 2s));
            state->confirm(answer("i-1"));
            state->apply(beat("i-1", 1000, 6, 3s));
            state->confirm(answer("i-1"));
            CPPUNIT_ASSERT(!state->accepts_work());
        }
    }

    void new_incarnation_under_the_old_id_gets_work_after_a_recalled_departure()
    {
        instance_state state = restarted();
        state.recall({.instance_id = "i-1", .last_start_ms = 1000});
        state.confirm(answer("i-1"));
        CPPUNIT_ASSERT(state.apply(beat("i-1", 2000, 1, 1s)));
        CPPUNIT_ASSERT(state.accepts_work());
        instance_state before_check = restarted();
        before_check.recall({.instance_id = "i-1", .last_start_ms = 1000});
        before_check.apply(beat("i-1", 2000, 1, 1s));
        CPPUNIT_ASSERT(before_check.confirm(answer("i-1")));
        CPPUNIT_ASSERT(before_check.accepts_work());
    }

    void instance_whose_clock_was_set_back_gets_work_after_a_recalled_departure()
    {
        instance_state state = restarted();
        state.recall({.instance_id = "i-1", .last_start_ms = 5000});
        std::uint64_t sequence = 1;
        core::duration time = 0s;
        for (; time < instance_state::max_heartbeat_delay; time += 1500ms)
        {
            CPPUNIT_ASSERT(!state.apply(beat("i-1", 4000, ++sequence, time)));
        }
        CPPUNIT_ASSERT(state.apply(beat("i-1", 4000, ++sequence, time)));
        CPPUNIT_ASSERT(state.accepts_work());
        // A daemon that did not hear of it tells of the departure again.
        CPPUNIT_ASSERT(!state.recall({.instance_id = "i-1", .last_start_ms = 5000}));
        CPPUNIT_ASSERT(state.accepts_work());
    }

    void departure_of_a_former_incarnation_does_not_concern_the_running_one()
    {
        instance_state state = restarted();
        state.apply(beat("i-1", 2000, 1, 1s));
        state.confirm(answer("i-1"));
        CPPUNIT_ASSERT(!state.recall({.instance_id = "i-1", .last_start_ms = 1000}));
        CPPUNIT_ASSERT(!state.recall({.instance_id = "i-0", .last_start_ms = 9000}));
        CPPUNIT_ASSERT(state.accepts_work());
    }

    /// Review case 13: the clock was set back between two starts under one id, and `draining` was ignored.
    void draining_with_an_earlier_start_time_binds()
    {
        instance_state state{"a"};
        state.apply(beat("i-1", 5000, 1, 0s));
        state.apply(beat("i-1", 4000, 1, 1s));
        CPPUNIT_ASSERT(state.apply(beat("i-1", 4000, 2, 20s, true)));
        CPPUNIT_ASSERT(!state.accepts_work());
        state.apply(beat("i-1", 4000, 3, 21s));
        state.confirm(answer("i-1"));
        CPPUNIT_ASSERT(!state.accepts_work());
        instance_state other{"a"};
        other.apply(beat("i-2", 5000, 1, 0s));
        other.apply(beat("i-3", 4000, 1, 1s, true));
        other.apply(beat("i-3", 4000, 2, 2s));
        other.confirm(answer("i-3"));
        CPPUNIT_ASSERT(other.instance()->id != "i-3" || !other.accepts_work());
    }

    void late_draining_of_a_former_incarnation_under_the_same_id_holds_up_the_running_one_until_a_check()
    {
        instance_state state{"a"};
        state.apply(beat("i-1", 1000, 1, 0s));
        state.apply(beat("i-1", 2000, 1, 1s));
        state.apply(beat("i-1", 1000, 8, 2s));
        state.apply(beat("i-1", 2000, 2, 3s));
        CPPUNIT_ASSERT(!state.apply(beat("i-1", 1000, 9, 3s, true)));
        CPPUNIT_ASSERT(state.accepts_work());
        state.apply(beat("i-1", 1000, 8, 4s));
        CPPUNIT_ASSERT(state.apply(beat("i-1", 1000, 9, 4s, true)));
        CPPUNIT_ASSERT(!state.accepts_work());
        state.apply(beat("i-1", 2000, 3, 5s));
        CPPUNIT_ASSERT(state.needs_check());
        CPPUNIT_ASSERT(state.confirm(answer("i-1")));
        CPPUNIT_ASSERT(state.accepts_work());
    }

private:
    static core::time_point at(core::duration since_start) { return core::time_point{1h} + since_start; }

    /// A process that follows another one.
    static instance_state restarted()
    {
        return instance_state{
            {.address = "a", .history = instance_history::partial, .process_start = at(0s)}};
    }

    static instance_heartbeat beat(const std::string& id, std::uint64_t started_ms, std::uint64_t sequence,
                                   core::duration received, bool draining = false)
    {
        return {.id = id,
                .address = "a",
                .service = "s",
                .slots = 10,
                .draining = draining,
                .sequence = sequence,
                .started_ms = started_ms,
                .received = at(received)};
    }

    /// An answer to a health check.
    static instance_heartbeat answer(const std::string& id)
    {
        return {.id = id, .address = "a", .service = "s", .slots = 10};
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(instance_claim_test);

} // namespace laburnumreach::sidecar
