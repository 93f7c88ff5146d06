#include "laburnumreach/platform/memory_object_store.hpp"
#include "laburnumreach/platform/zone_lease.hpp"
#include "laburnumreach/platform/zone_lease_step.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace laburnumreach::platform
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

struct manual_clock
{
    core::time_point time{seconds{1000}};
    core::time_point now() const { return this->time; }
};

zone_lease_options options_of(const std::string& id)
{
    zone_lease_options options;
    options.zone = "a";
    options.daemon_id = id;
    options.incarnation = 1;
    return options;
}

/// A daemon that takes part in the lease of one zone.
struct participant
{
    explicit participant(const std::string& id) : lease(options_of(id)) { this->lease.set_candidate(true); }

    /// Makes the calls that are due.
    void run(memory_object_store& store, manual_clock& clock)
    {
        // A loop of calls without a pause would never end here.
        for (int call = 0; call < 10 && step_zone_lease(this->lease, store, clock, this->random); ++call)
        {
        }
    }

    zone_lease lease;
    core::random_source random{7};
};

} // namespace

/// Guards against two lenders in one zone, a lender that acts after its term, and a zone that stays without a
/// lender longer than the rules say.
class zone_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(zone_lease_test);
    CPPUNIT_TEST(a_holder_renews);
    CPPUNIT_TEST(a_paused_holder_notices_its_lapse);
    CPPUNIT_TEST(the_term_counts_from_before_the_write);
    CPPUNIT_TEST(a_lost_answer_is_recognised);
    CPPUNIT_TEST(of_two_candidates_one_wins);
    CPPUNIT_TEST(a_renewed_record_is_not_taken_over);
    CPPUNIT_TEST(only_the_successor_takes_over_early);
    CPPUNIT_TEST(a_promise_delays_the_successor);
    CPPUNIT_TEST(an_outage_ends_in_the_same_epoch);
    CPPUNIT_TEST(a_release_is_taken_over_at_once);
    CPPUNIT_TEST(a_release_that_may_be_in_force_forbids_acting);
    CPPUNIT_TEST(a_restarted_holder_waits_like_others);
    CPPUNIT_TEST(a_damaged_record_is_replaced_with_a_new_epoch);
    CPPUNIT_TEST(a_deleted_record_waits_for_the_term);
    CPPUNIT_TEST(a_stale_read_does_not_end_the_role);
    CPPUNIT_TEST(retries_are_spread);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_holder_renews()
    {
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::not_holder);
        this->first.lease.set_members({"127.0.0.1:7003"});
        this->advance(seconds{60});
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::holder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->first.lease.record()->epoch);
        CPPUNIT_ASSERT_EQUAL(std::string{"127.0.0.1:7003"}, this->first.lease.record()->members.at(0));
        // One write every 2 s, give or take the jitter.
        CPPUNIT_ASSERT(this->store.calls() >= 27 && this->store.calls() <= 35);
    }

    void a_paused_holder_notices_its_lapse()
    {
        this->advance(seconds{10});
        const auto until = this->first.lease.holder_valid_until();
        CPPUNIT_ASSERT(until.has_value());
        this->clock.time = *until - milliseconds{1};
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::holder);
        this->clock.time = *until;
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::lapsed);
    }

    void the_term_counts_from_before_the_write()
    {
        this->store.set_delay_hook([&] { this->clock.time += seconds{4}; });
        this->store.inject(store_fault::none);
        this->store.inject(store_fault::slow);
        const auto sent_at = this->clock.time;
        CPPUNIT_ASSERT(step_zone_lease(this->first.lease, this->store, this->clock, this->first.random));
        CPPUNIT_ASSERT(step_zone_lease(this->first.lease, this->store, this->clock, this->first.random));
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::holder);
        CPPUNIT_ASSERT(this->first.lease.holder_valid_until() == sent_at + seconds{6});
        this->store.set_delay_hook([&] { this->clock.time += seconds{20}; });
        this->store.inject(store_fault::slow);
        CPPUNIT_ASSERT(step_zone_lease(this->first.lease, this->store, this->clock, this->first.random));
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::lapsed);
    }

    void a_lost_answer_is_recognised()
    {
        this->store.inject(store_fault::none);
        this->store.inject(store_fault::lost_answer);
        this->first.run(this->store, this->clock);
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::holder);
        CPPUNIT_ASSERT_EQUAL(object_version{1}, this->first.lease.version());
        this->clock.time += seconds{3};
        this->store.inject(store_fault::lost_answer);
        const auto renewed_at = this->clock.time;
        this->first.run(this->store, this->clock);
        CPPUNIT_ASSERT(this->first.lease.holder_valid_until() == renewed_at + seconds{6});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->first.lease.record()->epoch);
    }

    void of_two_candidates_one_wins()
    {
        // Both read the absent record before either one writes.
        const auto first_read = this->first.lease.poll(this->clock.now(), this->first.random);
        const auto second_read = this->second.lease.poll(this->clock.now(), this->second.random);
        this->first.lease.on_read(this->clock.now(), this->store.get(first_read->name), this->first.random);
        this->second.lease.on_read(this->clock.now(), this->store.get(second_read->name),
                                   this->second.random);
        this->advance(seconds{30}, true);
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::holder);
        CPPUNIT_ASSERT(this->state_of(this->second) == lease_state::not_holder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->second.lease.record()->epoch);
    }

    void a_renewed_record_is_not_taken_over()
    {
        this->advance(seconds{1});
        this->advance(minutes{30}, true);
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::holder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->first.lease.record()->epoch);
    }

    void only_the_successor_takes_over_early()
    {
        this->first.lease.set_successor("second");
        this->advance(seconds{10}, true);
        CPPUNIT_ASSERT_EQUAL(std::string{"second"}, this->first.lease.confirmed_successor());
        participant third{"third"};
        third.run(this->store, this->clock);
        const auto stopped_at = this->clock.time;
        this->run_alone(third, minutes{9});
        CPPUNIT_ASSERT(this->state_of(third) == lease_state::not_holder);
        this->run_alone(this->second, seconds{9});
        CPPUNIT_ASSERT(this->state_of(this->second) == lease_state::holder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->second.lease.record()->epoch);
        CPPUNIT_ASSERT(this->clock.time - stopped_at < minutes{10});
        this->second.lease.set_successor("first");
        this->run_alone(this->second, seconds{4});
        this->run_alone(third, minutes{11});
        CPPUNIT_ASSERT(this->state_of(third) == lease_state::holder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, third.lease.record()->epoch);
    }

    void a_promise_delays_the_successor()
    {
        this->first.lease.set_successor("second");
        this->advance(seconds{10}, true);
        this->second.lease.set_promise_until(this->clock.time + seconds{40});
        this->run_alone(this->second, seconds{39});
        CPPUNIT_ASSERT(this->state_of(this->second) == lease_state::not_holder);
        this->run_alone(this->second, seconds{4});
        CPPUNIT_ASSERT(this->state_of(this->second) == lease_state::holder);
    }

    void an_outage_ends_in_the_same_epoch()
    {
        this->advance(seconds{5});
        this->store.set_outage(true);
        const std::size_t before = this->store.calls();
        this->advance(minutes{5}, true);
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::lapsed);
        CPPUNIT_ASSERT(this->state_of(this->second) == lease_state::not_holder);
        // Two daemons at no more than one call in half of the longest retry delay.
        CPPUNIT_ASSERT(this->store.calls() - before <= 2 * 160);
        this->store.set_outage(false);
        this->advance(seconds{5});
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::holder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->first.lease.record()->epoch);
    }

    void a_release_is_taken_over_at_once()
    {
        this->first.lease.set_successor("third");
        this->advance(seconds{10}, true);
        this->first.lease.release();
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::not_holder);
        CPPUNIT_ASSERT(this->first.lease.releasing());
        this->first.run(this->store, this->clock);
        CPPUNIT_ASSERT(!this->first.lease.releasing());
        CPPUNIT_ASSERT(!this->first.lease.next_call());
        this->run_alone(this->second, seconds{3});
        CPPUNIT_ASSERT(this->state_of(this->second) == lease_state::holder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->second.lease.record()->epoch);
    }

    void a_release_that_may_be_in_force_forbids_acting()
    {
        this->advance(seconds{10});
        this->first.lease.release();
        this->store.inject(store_fault::delayed_write);
        CPPUNIT_ASSERT(step_zone_lease(this->first.lease, this->store, this->clock, this->first.random));
        this->first.lease.set_candidate(true);
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::not_holder);
        CPPUNIT_ASSERT(!this->first.lease.holder_valid_until());
        this->store.release_delayed_writes();
        this->advance(seconds{5});
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::holder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->first.lease.record()->epoch);
    }

    void a_restarted_holder_waits_like_others()
    {
        this->advance(seconds{10});
        zone_lease_options options = options_of("first");
        options.incarnation = 2;
        participant restarted{"first"};
        restarted.lease = zone_lease{options};
        restarted.lease.set_candidate(true);
        this->run_alone(restarted, seconds{6});
        CPPUNIT_ASSERT(this->state_of(restarted) == lease_state::not_holder);
        this->run_alone(restarted, seconds{2});
        CPPUNIT_ASSERT(this->state_of(restarted) == lease_state::holder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, restarted.lease.record()->epoch);
    }

    void a_damaged_record_is_replaced_with_a_new_epoch()
    {
        this->advance(seconds{10});
        const object_version version = this->first.lease.version();
        CPPUNIT_ASSERT(this->store.put_if("zone/a", version, "{").has_value());
        this->run_alone(this->second, seconds{6});
        CPPUNIT_ASSERT(this->state_of(this->second) == lease_state::not_holder);
        this->run_alone(this->second, seconds{2});
        CPPUNIT_ASSERT(this->state_of(this->second) == lease_state::holder);
        CPPUNIT_ASSERT(this->second.lease.record()->epoch > version);
    }

    void a_deleted_record_waits_for_the_term()
    {
        this->advance(seconds{10}, true);
        CPPUNIT_ASSERT(this->store.remove_if("zone/a", this->first.lease.version()).has_value());
        this->run_alone(this->second, seconds{6});
        CPPUNIT_ASSERT(this->state_of(this->second) == lease_state::not_holder);
        this->run_alone(this->second, seconds{4});
        CPPUNIT_ASSERT(this->state_of(this->second) == lease_state::holder);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->second.lease.record()->epoch);
    }

    void a_stale_read_does_not_end_the_role()
    {
        this->advance(seconds{10});
        const object_version version = this->first.lease.version();
        this->clock.time += seconds{3};
        this->store.inject(store_fault::lost_answer);
        this->store.inject(store_fault::stale_read);
        this->first.run(this->store, this->clock);
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::holder);
        this->advance(seconds{3});
        CPPUNIT_ASSERT(this->first.lease.version() > version);
        CPPUNIT_ASSERT(this->state_of(this->first) == lease_state::holder);
    }

    void retries_are_spread()
    {
        this->store.set_outage(true);
        std::set<core::time_point> retries;
        constexpr int daemons = 50;
        for (int daemon = 0; daemon < daemons; ++daemon)
        {
            participant one{"daemon"};
            one.random = core::random_source{static_cast<std::uint64_t>(daemon)};
            manual_clock own = this->clock;
            for (int failure = 0; failure < 6; ++failure)
            {
                one.run(this->store, own);
                own.time = this->clock.time + seconds{100 * (failure + 1)};
            }
            own.time = this->clock.time + seconds{1000};
            one.run(this->store, own);
            retries.insert(*one.lease.next_call());
            CPPUNIT_ASSERT(*one.lease.next_call() >= own.time + seconds{2});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{daemons}, retries.size());
        CPPUNIT_ASSERT(*retries.rbegin() - *retries.begin() > seconds{1});
    }

private:
    lease_state state_of(const participant& one) const { return one.lease.state(this->clock.time); }

    void run_alone(participant& one, core::duration time)
    {
        const auto end = this->clock.time + time;
        for (; this->clock.time < end; this->clock.time += milliseconds{50})
        {
            one.run(this->store, this->clock);
        }
    }

    /// Runs the first participant, and the second one if asked.
    void advance(core::duration time, bool with_second = false)
    {
        const auto end = this->clock.time + time;
        for (; this->clock.time < end; this->clock.time += milliseconds{50})
        {
            this->first.run(this->store, this->clock);
            if (with_second)
            {
                this->second.run(this->store, this->clock);
            }
        }
    }

    memory_object_store store;
    manual_clock clock;
    participant first{"first"};
    participant second{"second"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(zone_lease_test);

} // namespace laburnumreach::platform
