#include "laburnumreach/platform/config_repository.hpp"
#include "laburnumreach/platform/memory_object_store.hpp"
#include "store_contract.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::platform
{

/// Guards against a lost update between operators, an update applied twice after a lost answer, and a daemon
/// that goes back to an older configuration.
class config_repository_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_repository_test);
    CPPUNIT_TEST(memory_store_keeps_the_contract);
    CPPUNIT_TEST(faults_have_the_promised_effect);
    CPPUNIT_TEST(of_two_operators_one_wins);
    CPPUNIT_TEST(an_operator_between_read_and_write_is_noticed);
    CPPUNIT_TEST(own_write_is_recognised_after_a_lost_answer);
    CPPUNIT_TEST(a_delayed_write_is_not_reported_as_refused);
    CPPUNIT_TEST(a_stale_read_never_steps_back);
    CPPUNIT_TEST(a_damaged_document_is_an_error_once);
    CPPUNIT_TEST(the_watch_returns_each_revision_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void memory_store_keeps_the_contract()
    {
        memory_object_store store;
        check_store_contract(store);
    }

    void faults_have_the_promised_effect()
    {
        memory_object_store store;
        store.set_outage(true);
        CPPUNIT_ASSERT(store.put_if("x", std::nullopt, "1").error().code == core::error_code::unavailable);
        store.set_outage(false);
        CPPUNIT_ASSERT(store.get("x").error().code == core::error_code::not_found);
        store.inject(store_fault::lost_answer);
        CPPUNIT_ASSERT(store.put_if("x", std::nullopt, "1").error().code ==
                       core::error_code::outcome_unknown);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, store.get("x")->value);
        CPPUNIT_ASSERT(store.put_if("x", 1, "2").has_value());
        store.inject(store_fault::stale_read);
        CPPUNIT_ASSERT_EQUAL(object_version{1}, store.get("x")->version);
        store.inject(store_fault::delayed_write);
        CPPUNIT_ASSERT(store.put_if("x", 2, "3").error().code == core::error_code::outcome_unknown);
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, store.get("x")->value);
        store.release_delayed_writes();
        CPPUNIT_ASSERT_EQUAL(std::string{"3"}, store.get("x")->value);
        int delays = 0;
        store.set_delay_hook([&] { ++delays; });
        store.inject(store_fault::slow, 2);
        CPPUNIT_ASSERT(store.get("x").has_value() && store.get("x").has_value() &&
                       store.get("x").has_value());
        CPPUNIT_ASSERT_EQUAL(2, delays);
    }

    void of_two_operators_one_wins()
    {
        memory_object_store store;
        config_repository first{store};
        config_repository second{store};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first.apply("one", 0, "a")->revision);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, second.load()->revision);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second.apply("two", 1, "b")->revision);
        const auto lost = first.apply("three", 1, "c");
        CPPUNIT_ASSERT(lost.error().code == core::error_code::conflict);
        CPPUNIT_ASSERT(lost.error().message.find("revision 2") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string{"two"}, second.load()->text);
    }

    void an_operator_between_read_and_write_is_noticed()
    {
        memory_object_store store;
        config_repository first{store};
        config_repository second{store};
        CPPUNIT_ASSERT(first.apply("one", 0, "a").has_value());
        bool other_wrote = false;
        store.set_delay_hook([&] { other_wrote = second.apply("two", 1, "b").has_value(); });
        store.inject(store_fault::none);
        store.inject(store_fault::slow);
        const auto lost = first.apply("three", 1, "c");
        CPPUNIT_ASSERT(other_wrote);
        CPPUNIT_ASSERT(lost.error().code == core::error_code::conflict);
        CPPUNIT_ASSERT_EQUAL(std::string{"two"}, first.load()->text);
    }

    void own_write_is_recognised_after_a_lost_answer()
    {
        memory_object_store store;
        config_repository repository{store};
        store.inject(store_fault::none);
        store.inject(store_fault::lost_answer);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, repository.apply("one", 0, "a")->revision);
        CPPUNIT_ASSERT_EQUAL(object_version{1}, store.get(config_object_name)->version);
    }

    void a_delayed_write_is_not_reported_as_refused()
    {
        memory_object_store store;
        config_repository repository{store};
        store.inject(store_fault::none);
        store.inject(store_fault::delayed_write);
        CPPUNIT_ASSERT(repository.apply("one", 0, "a").error().code == core::error_code::outcome_unknown);
        store.release_delayed_writes();
        CPPUNIT_ASSERT_EQUAL(std::string{"one"}, repository.load()->text);
    }

    void a_stale_read_never_steps_back()
    {
        memory_object_store store;
        config_repository operators{store};
        config_repository daemon{store};
        CPPUNIT_ASSERT(operators.apply("one", 0, "a") && operators.apply("two", 1, "b"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, daemon.load()->revision);
        store.inject(store_fault::stale_read);
        CPPUNIT_ASSERT(daemon.load().error().code == core::error_code::unavailable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, daemon.revision());
        daemon.note_revision(5);
        CPPUNIT_ASSERT(daemon.load().error().code == core::error_code::unavailable);
    }

    void a_damaged_document_is_an_error_once()
    {
        memory_object_store store;
        config_repository repository{store};
        CPPUNIT_ASSERT(repository.apply("one", 0, "a").has_value());
        CPPUNIT_ASSERT(store.put_if(config_object_name, 1, "{").has_value());
        constexpr std::chrono::milliseconds timeout{0};
        CPPUNIT_ASSERT(repository.watch(timeout).error().code == core::error_code::invalid_argument);
        CPPUNIT_ASSERT(repository.watch(timeout).value() == std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, repository.revision());
    }

    void the_watch_returns_each_revision_once()
    {
        memory_object_store store;
        config_repository operators{store};
        config_repository daemon{store};
        constexpr std::chrono::milliseconds timeout{0};
        CPPUNIT_ASSERT(daemon.watch(timeout).value() == std::nullopt);
        CPPUNIT_ASSERT(operators.apply("one", 0, "a").has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"one"}, daemon.watch(timeout).value()->text);
        CPPUNIT_ASSERT(daemon.watch(timeout).value() == std::nullopt);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_repository_test);

} // namespace laburnumreach::platform
