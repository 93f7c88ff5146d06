#include "laburnumreach/config/fleet_change.hpp"
#include "laburnumreach/config/fleet_config_toml.hpp"
#include "laburnumreach/config/fleet_edit.hpp"
#include "laburnumreach/core/random_source.hpp"
#include "sample_configuration.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::config
{

/// Guards against an edit by the command-line tool that damages the rest of the configuration or is missing
/// in the list of changes.
class fleet_edit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_edit_test);
    CPPUNIT_TEST(every_value_round_trips);
    CPPUNIT_TEST(random_edits_keep_the_text_valid_and_appear_in_the_diff);
    CPPUNIT_TEST(random_texts_are_rejected_or_round_trip);
    CPPUNIT_TEST(rejected_edits_change_nothing);
    CPPUNIT_TEST(out_of_range_edit_is_not_written);
    CPPUNIT_TEST(replaced_digest_is_withdrawn_and_granted);
    CPPUNIT_TEST(changes_print_their_values);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_value_round_trips()
    {
        fleet_config config = *parse_fleet_config(sample_configuration);
        config.tenants[0].rate = 0.1 + 0.2;
        config.tenants[0].burst = 1e9;
        config.routes[0].path = "/a'b\"c/";
        const auto reparsed = parse_fleet_config(to_toml(config));
        CPPUNIT_ASSERT(reparsed.has_value());
        CPPUNIT_ASSERT(*reparsed == config);
    }

    void random_edits_keep_the_text_valid_and_appear_in_the_diff()
    {
        for (std::uint64_t seed = 1; seed <= 100; ++seed)
        {
            core::random_source random{seed};
            fleet_config config = *parse_fleet_config(sample_configuration);
            for (int edit = 0; edit < 10; ++edit)
            {
                const std::string message = "seed " + std::to_string(seed) + " edit " + std::to_string(edit);
                const fleet_config before = config;
                const bool accepted = random_edit(config, random);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, accepted, config != before);
                const auto text = checked_toml(config);
                CPPUNIT_ASSERT_MESSAGE(message, text.has_value());
                CPPUNIT_ASSERT_MESSAGE(message, *parse_fleet_config(*text) == config);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, config == before,
                                             diff_fleet_config(before, config).empty());
            }
        }
    }

    /// Guards against a text that is accepted but written back with another meaning.
    void random_texts_are_rejected_or_round_trip()
    {
        constexpr std::string_view inserted = "[]\"'=.#\\\n,0a-\xff ";
        int accepted = 0;
        for (std::uint64_t seed = 1; seed <= 2000; ++seed)
        {
            core::random_source random{seed};
            std::string text{sample_configuration};
            for (std::uint64_t edits = 1 + random.below(3); edits > 0; --edits)
            {
                const std::size_t position = random.below(text.size());
                text.replace(position, random.below(3), random.below(3),
                             inserted[random.below(inserted.size())]);
            }
            const auto parsed = parse_fleet_config(text);
            const std::string message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, parsed ? *parse_fleet_config(to_toml(*parsed)) == *parsed
                                                   : !parsed.error().empty());
            accepted += parsed ? 1 : 0;
        }
        CPPUNIT_ASSERT(accepted > 100 && accepted < 1900);
    }

    void rejected_edits_change_nothing()
    {
        fleet_config config = *parse_fleet_config(sample_configuration);
        const fleet_config before = config;
        const key_digest digest = sha256_of_key("x");
        CPPUNIT_ASSERT(grant_key(config, "none", "k", digest).error().code == core::error_code::not_found);
        CPPUNIT_ASSERT(grant_key(config, "serra", "2026-08", digest).error().code ==
                       core::error_code::conflict);
        CPPUNIT_ASSERT(!withdraw_key(config, "serra", "none"));
        CPPUNIT_ASSERT(!withdraw_key(config, "monte", "2026-08"));
        CPPUNIT_ASSERT(!set_rate(config, "none", 1.0, 1.0));
        CPPUNIT_ASSERT(!set_weight(config, "none", 1.0));
        CPPUNIT_ASSERT(!set_priority(config, "sheets", "page", core::priority_class::bulk));
        CPPUNIT_ASSERT(!drain_instance(config, "tally-3"));
        CPPUNIT_ASSERT(!undrain_instance(config, "tally-4"));
        CPPUNIT_ASSERT(config == before);
    }

    void out_of_range_edit_is_not_written()
    {
        fleet_config config = *parse_fleet_config(sample_configuration);
        CPPUNIT_ASSERT(set_rate(config, "serra", -1.0, std::nullopt));
        CPPUNIT_ASSERT(!checked_toml(config));
        config = *parse_fleet_config(sample_configuration);
        CPPUNIT_ASSERT(grant_key(config, "monte", "again", sha256_of_key("foo")));
        CPPUNIT_ASSERT(!checked_toml(config));
    }

    void replaced_digest_is_withdrawn_and_granted()
    {
        const fleet_config before = *parse_fleet_config(sample_configuration);
        fleet_config after = before;
        after.tenants[0].keys[0].digest = sha256_of_key("bar");
        const auto changes = diff_fleet_config(before, after);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        CPPUNIT_ASSERT(changes[0].kind == change_kind::key_withdrawn);
        CPPUNIT_ASSERT(changes[0].digest == sha256_of_key("foo"));
        CPPUNIT_ASSERT(changes[1].kind == change_kind::key_granted);
        after.tenants.erase(after.tenants.begin());
        const auto removal = diff_fleet_config(before, after);
        CPPUNIT_ASSERT(removal.back().kind == change_kind::key_withdrawn);
    }

    void changes_print_their_values()
    {
        const fleet_config before = *parse_fleet_config(sample_configuration);
        fleet_config after = before;
        CPPUNIT_ASSERT(set_rate(after, "serra", 50.5, std::nullopt));
        CPPUNIT_ASSERT(set_priority(after, "tally", "page", core::priority_class::critical));
        std::string lines;
        for (const fleet_change& change : diff_fleet_config(before, after))
        {
            lines += to_string(change) + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"route_changed tally/page: priority normal -> critical\n"
                                         "tenant_changed serra: rate 100 -> 50.5\n"},
                             lines);
    }

private:
    /// Applies a random edit within the allowed ranges.
    /// @returns whether the edit was accepted and changed the configuration
    static bool random_edit(fleet_config& config, core::random_source& random)
    {
        const std::string tenant = random.chance(0.5) ? "serra" : "monte";
        const std::string id = "key-" + std::to_string(random.below(3));
        const std::string instance = "tally-" + std::to_string(random.below(4));
        switch (random.below(6))
        {
        case 0:
            return grant_key(config, tenant, id, sha256_of_key(tenant + id)).has_value();
        case 1:
            return withdraw_key(config, tenant, id).has_value();
        case 2:
            return set_rate(config, tenant, 1e-3 + 1000.0 * random.uniform(), 1.0 + 1000.0 * random.uniform())
                .has_value();
        case 3:
            return set_weight(config, tenant, 1e-3 + random.uniform()).has_value();
        case 4:
            return drain_instance(config, instance).has_value();
        default:
            return undrain_instance(config, instance).has_value();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_edit_test);

} // namespace laburnumreach::config
