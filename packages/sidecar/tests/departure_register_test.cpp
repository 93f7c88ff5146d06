#include "laburnumreach/sidecar/departure_memory.hpp"
#include "laburnumreach/sidecar/departure_register.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against a departure that is acknowledged and then forgotten with the process.
class departure_register_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departure_register_test);
    CPPUNIT_TEST(departure_is_acknowledged_when_two_holders_have_it);
    CPPUNIT_TEST(single_holder_suffices_if_no_other_is_reachable_or_confirms);
    CPPUNIT_TEST(departure_without_a_holder_is_not_acknowledged);
    CPPUNIT_TEST(daemon_without_others_acknowledges_in_time);
    CPPUNIT_TEST(repeated_announcement_is_acknowledged_at_once);
    CPPUNIT_TEST(earlier_confirmation_does_not_count_for_a_later_departure);
    CPPUNIT_TEST(instance_that_works_again_is_withdrawn);
    CPPUNIT_TEST(memory_joins_what_processes_of_a_daemon_announce);
    CPPUNIT_TEST(memory_is_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void departure_is_acknowledged_when_two_holders_have_it()
    {
        const std::uint64_t revision = this->departures.add(departure("i-1"));
        constexpr departure_holders holders{.known = 9, .reachable = 9};
        CPPUNIT_ASSERT(this->departures.outcome(revision, 0s, holders) == departure_outcome::pending);
        this->departures.confirm("d-1", revision);
        CPPUNIT_ASSERT(this->departures.outcome(revision, 0s, holders) == departure_outcome::pending);
        this->departures.confirm("d-2", revision);
        CPPUNIT_ASSERT(this->departures.outcome(revision, 0s, holders) == departure_outcome::recorded);
    }

    void single_holder_suffices_if_no_other_is_reachable_or_confirms()
    {
        const std::uint64_t revision = this->departures.add(departure("i-1"));
        this->departures.confirm("d-1", revision);
        CPPUNIT_ASSERT(this->departures.outcome(revision, 0s, {.known = 9, .reachable = 1}) ==
                       departure_outcome::recorded);
        CPPUNIT_ASSERT(this->departures.outcome(revision, late, {.known = 9, .reachable = 9}) ==
                       departure_outcome::recorded);
    }

    void departure_without_a_holder_is_not_acknowledged()
    {
        const std::uint64_t revision = this->departures.add(departure("i-1"));
        constexpr departure_holders cut_off{.known = 9, .reachable = 0};
        CPPUNIT_ASSERT(this->departures.outcome(revision, 0s, cut_off) == departure_outcome::pending);
        CPPUNIT_ASSERT(this->departures.outcome(revision, late, cut_off) == departure_outcome::failed);
    }

    void daemon_without_others_acknowledges_in_time()
    {
        const std::uint64_t revision = this->departures.add(departure("i-1"));
        CPPUNIT_ASSERT(this->departures.outcome(revision, 0s, {}) == departure_outcome::pending);
        CPPUNIT_ASSERT(this->departures.outcome(revision, late, {}) == departure_outcome::recorded);
        CPPUNIT_ASSERT(late < 1s);
    }

    void repeated_announcement_is_acknowledged_at_once()
    {
        this->departures.confirm("d-1", this->departures.add(departure("i-1", 5)));
        const std::uint64_t repeated = this->departures.add(departure("i-1", 5));
        CPPUNIT_ASSERT(this->departures.outcome(repeated, 0s, {.known = 1, .reachable = 1}) ==
                       departure_outcome::recorded);
    }

    void earlier_confirmation_does_not_count_for_a_later_departure()
    {
        this->departures.confirm("d-1", this->departures.add(departure("i-1", 5)));
        for (const instance_departure& next : {departure("i-2"), departure("i-1", 6)})
        {
            const std::uint64_t revision = this->departures.add(next);
            CPPUNIT_ASSERT(this->departures.outcome(revision, 0s, {.known = 1, .reachable = 1}) ==
                           departure_outcome::pending);
        }
    }

    void instance_that_works_again_is_withdrawn()
    {
        this->departures.add(departure("i-1"));
        const std::uint64_t before = this->departures.revision();
        CPPUNIT_ASSERT(!this->departures.withdraw("i-2"));
        CPPUNIT_ASSERT(this->departures.withdraw("i-1"));
        CPPUNIT_ASSERT(this->departures.revision() > before);
        CPPUNIT_ASSERT(this->departures.departures().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->departures.withdrawn().size());
        this->departures.add(departure("i-1"));
        CPPUNIT_ASSERT(this->departures.withdrawn().empty());
    }

    /// A restarted daemon announces what it was told itself, before it is told what its predecessor was.
    void memory_joins_what_processes_of_a_daemon_announce()
    {
        departure_memory memory;
        memory.record("d-1", std::vector{departure("i-1", 5)}, {});
        memory.record("d-1", std::vector{departure("i-2", 7)}, {});
        memory.record("d-1", std::vector{departure("i-1", 3)}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, memory.departures_of("d-1").size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, memory.departures_of("d-1").front().last_start_ms);
        CPPUNIT_ASSERT(memory.departures_of("d-2").empty());
        memory.record("d-1", {}, std::vector<std::string>{"i-1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, memory.departures_of("d-1").size());
    }

    void memory_is_bounded()
    {
        departure_memory memory;
        for (std::uint64_t number = 0; number < 100; ++number)
        {
            memory.record("d-1", std::vector{departure("i-" + std::to_string(number), number)}, {});
        }
        CPPUNIT_ASSERT_EQUAL(max_departures, memory.departures_of("d-1").size());
        // An earlier departure that is told later does not replace a later one.
        memory.record("d-1", std::vector{departure("i-0", 0)}, {});
        CPPUNIT_ASSERT_EQUAL(std::string{"i-92"}, memory.departures_of("d-1").front().instance_id);
        CPPUNIT_ASSERT_EQUAL(std::string{"i-99"}, memory.departures_of("d-1").back().instance_id);
        for (int number = 0; number < 100; ++number)
        {
            this->departures.add(departure("i-" + std::to_string(number)));
            this->departures.withdraw("i-" + std::to_string(number / 2));
        }
        CPPUNIT_ASSERT(this->departures.departures().size() <= max_departures);
        CPPUNIT_ASSERT(this->departures.withdrawn().size() <= max_departures);
    }

private:
    static constexpr core::duration late = departure_register::confirmation_time;

    static instance_departure departure(const std::string& id, std::uint64_t last_start_ms = 1)
    {
        return {.instance_id = id, .last_start_ms = last_start_ms};
    }

    departure_register departures;
};
CPPUNIT_TEST_SUITE_REGISTRATION(departure_register_test);

} // namespace laburnumreach::sidecar
