#include "laburnumreach/ctl/config_commands.hpp"
#include "laburnumreach/platform/memory_object_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::ctl
{

namespace
{

constexpr std::string_view fleet_text =
    "# made by hand\nzones = [\"a\"]\n[[tenant]]\nname = \"serra\"\nrate = 10\n"
    "burst = 20\n";

core::result<void> halve_rate(config::fleet_config& fleet)
{
    return config::set_rate(fleet, "serra", fleet.tenants.at(0).rate / 2, std::nullopt);
}

} // namespace

/// Guards against an operator's command that overwrites another operator's change, stores an invalid text, or
/// ends with an exit code that scripts misread.
class config_commands_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_commands_test);
    CPPUNIT_TEST(a_text_is_applied_and_shown);
    CPPUNIT_TEST(an_invalid_text_is_refused);
    CPPUNIT_TEST(an_unexpected_revision_is_a_conflict);
    CPPUNIT_TEST(an_edit_is_stored_with_its_change);
    CPPUNIT_TEST(a_lost_race_changes_nothing_unless_retried);
    CPPUNIT_TEST(edits_that_do_not_fit_are_refused);
    CPPUNIT_TEST(platform_errors_have_their_exit_codes);
    CPPUNIT_TEST(keys_are_random_and_stored_as_digest);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_text_is_applied_and_shown()
    {
        CPPUNIT_ASSERT(this->apply(fleet_text).code == exit_code::ok);
        const report shown = this->commands.show();
        CPPUNIT_ASSERT_EQUAL("# revision 1\n" + std::string{fleet_text}, shown.text);
        CPPUNIT_ASSERT(this->apply(fleet_text).text == "no changes\n");
        CPPUNIT_ASSERT(this->apply(shown.text).code == exit_code::ok);
        CPPUNIT_ASSERT_EQUAL("# revision 2\n" + std::string{fleet_text}, this->commands.show().text);
    }

    void an_invalid_text_is_refused()
    {
        const report refused = this->apply("zones = []\ncolour = 1\n");
        CPPUNIT_ASSERT(refused.code == exit_code::refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, refused.json["errors"].size());
        CPPUNIT_ASSERT(refused.text.find("text: line 2, column 1: unknown name 'colour'") !=
                       std::string::npos);
        CPPUNIT_ASSERT(this->commands.show().code == exit_code::refused);
        CPPUNIT_ASSERT(validate("text", fleet_text).code == exit_code::ok);
    }

    void an_unexpected_revision_is_a_conflict()
    {
        CPPUNIT_ASSERT(this->commands.apply("text", fleet_text, 1).code == exit_code::conflict);
        CPPUNIT_ASSERT(this->apply(fleet_text).code == exit_code::ok);
        CPPUNIT_ASSERT(this->commands.apply("text", fleet_text, 7).code == exit_code::conflict);
        CPPUNIT_ASSERT(this->commands.apply("text", "zones = [\"b\"]", 1).code == exit_code::ok);
    }

    void an_edit_is_stored_with_its_change()
    {
        CPPUNIT_ASSERT(this->apply(fleet_text).code == exit_code::ok);
        const report edited = this->commands.edit(halve_rate);
        CPPUNIT_ASSERT(edited.code == exit_code::ok);
        CPPUNIT_ASSERT(edited.text.find("tenant_changed serra: rate 10 -> 5\n") != std::string::npos);
        CPPUNIT_ASSERT(edited.text.find("comments were not kept") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(2, edited.json["revision"].get<int>());
        const report changes = this->commands.diff("text", fleet_text);
        CPPUNIT_ASSERT_EQUAL(std::string{"tenant_changed serra: rate 5 -> 10\n"}, changes.text);
    }

    void a_lost_race_changes_nothing_unless_retried()
    {
        CPPUNIT_ASSERT(this->apply(fleet_text).code == exit_code::ok);
        int races = 1;
        const auto racing_edit = [&](config::fleet_config& fleet)
        {
            if (races > 0)
            {
                --races;
                config_commands other{this->store};
                CPPUNIT_ASSERT(other
                                   .edit([](config::fleet_config& theirs)
                                         { return config::drain_instance(theirs, "tally-1"); })
                                   .code == exit_code::ok);
            }
            return halve_rate(fleet);
        };
        CPPUNIT_ASSERT(this->commands.edit(racing_edit).code == exit_code::conflict);
        CPPUNIT_ASSERT(this->commands.show().text.find("rate = 10") != std::string::npos);
        races = 0;
        CPPUNIT_ASSERT(
            this->commands
                .edit([](config::fleet_config& fleet) { return config::undrain_instance(fleet, "tally-1"); })
                .code == exit_code::ok);
        races = 1;
        CPPUNIT_ASSERT(this->commands.edit(racing_edit, 2).code == exit_code::ok);
        const std::string text = this->commands.show().text;
        CPPUNIT_ASSERT(text.find("rate = 5") != std::string::npos &&
                       text.find("tally-1") != std::string::npos);
    }

    void edits_that_do_not_fit_are_refused()
    {
        CPPUNIT_ASSERT(this->commands.edit(halve_rate).code == exit_code::refused);
        CPPUNIT_ASSERT(this->apply(fleet_text).code == exit_code::ok);
        const auto code_of = [&](const auto& change) { return this->commands.edit(change, 5).code; };
        CPPUNIT_ASSERT(code_of([](config::fleet_config& fleet)
                               { return config::set_weight(fleet, "monte", 1.0); }) == exit_code::refused);
        CPPUNIT_ASSERT(code_of([](config::fleet_config& fleet)
                               { return config::set_weight(fleet, "serra", -1.0); }) == exit_code::refused);
        CPPUNIT_ASSERT(this->commands.show().text.find("# revision 1\n") == 0);
    }

    void platform_errors_have_their_exit_codes()
    {
        CPPUNIT_ASSERT(this->apply(fleet_text).code == exit_code::ok);
        this->store.inject(platform::store_fault::none, 2);
        this->store.inject(platform::store_fault::delayed_write);
        const report unknown = this->commands.edit(halve_rate);
        CPPUNIT_ASSERT(unknown.code == exit_code::unreachable);
        CPPUNIT_ASSERT(unknown.text.find("may or may not be in force") != std::string::npos);
        this->store.set_outage(true);
        CPPUNIT_ASSERT(this->commands.edit(halve_rate).code == exit_code::unreachable);
        CPPUNIT_ASSERT(this->commands.show().code == exit_code::unreachable);
    }

    void keys_are_random_and_stored_as_digest()
    {
        const std::string key = random_hex(key_bytes);
        CPPUNIT_ASSERT_EQUAL(2 * key_bytes, key.size());
        CPPUNIT_ASSERT(key != random_hex(key_bytes));
        CPPUNIT_ASSERT(this->apply(fleet_text).code == exit_code::ok);
        CPPUNIT_ASSERT(
            this->commands
                .edit([&](config::fleet_config& fleet)
                      { return config::grant_key(fleet, "serra", "k", config::sha256_of_key(key)); })
                .code == exit_code::ok);
        const std::string text = this->commands.show().text;
        CPPUNIT_ASSERT(text.find(key) == std::string::npos);
        CPPUNIT_ASSERT(text.find(config::to_hex(config::sha256_of_key(key))) != std::string::npos);
    }

private:
    report apply(std::string_view text) { return this->commands.apply("text", text, std::nullopt); }

    platform::memory_object_store store;
    config_commands<platform::memory_object_store> commands{this->store};
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_commands_test);

} // namespace laburnumreach::ctl
