#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/quota/base_parts.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::quota
{

namespace
{

constexpr std::int64_t token = micro_tokens_per_token;

quota_revision quotas(std::uint64_t revision, std::vector<std::string> zones, std::int64_t rate,
                      std::int64_t burst)
{
    return {.revision = revision, .zones = std::move(zones), .tenants = {{"t", {rate, burst}}}};
}

std::shared_ptr<const quota_revision> share(quota_revision revision)
{
    return std::make_shared<const quota_revision>(std::move(revision));
}

} // namespace

/// Guards against zones that together use more than any revision in use allows.
class base_parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(base_parts_test);
    CPPUNIT_TEST(parts_sum_to_the_quota_in_whole_tokens);
    CPPUNIT_TEST(parts_never_fall_when_the_quota_grows);
    CPPUNIT_TEST(a_new_zone_waits_until_the_others_made_room);
    CPPUNIT_TEST(no_order_of_adoption_exceeds_the_revisions_in_use);
    CPPUNIT_TEST_SUITE_END();

public:
    void parts_sum_to_the_quota_in_whole_tokens()
    {
        for (const std::int64_t burst : {token / 2, token, 5 * token, 5 * token + 7, 200 * token})
        {
            const quota_revision revision = quotas(1, {"a", "b", "c"}, 10 * token, burst);
            part sum;
            for (const std::string& zone : revision.zones)
            {
                sum += revision.base_part("t", zone, 0);
            }
            CPPUNIT_ASSERT_EQUAL(burst, sum.capacity);
            CPPUNIT_ASSERT(sum.rate <= 10 * token && sum.rate > 10 * token - 3);
        }
        CPPUNIT_ASSERT(quotas(1, {"a"}, 1, 1).base_part("t", "b", 0) == part{});
        CPPUNIT_ASSERT(quotas(1, {}, 1, 1).base_part("t", "a", 0) == part{});
    }

    void parts_never_fall_when_the_quota_grows()
    {
        for (std::int64_t burst = 0; burst < 9 * token; burst += token / 4)
        {
            for (const char* zone : {"a", "b", "c", "d"})
            {
                const part less = quotas(1, {"a", "b", "c", "d"}, 1, burst).base_part("t", zone, 0);
                const part more =
                    quotas(1, {"a", "b", "c", "d"}, 1, burst + token / 4).base_part("t", zone, 0);
                CPPUNIT_ASSERT(less.capacity <= more.capacity);
            }
        }
    }

    void a_new_zone_waits_until_the_others_made_room()
    {
        base_parts a{"a", 0};
        a.adopt(share(quotas(1, {"a"}, 12 * token, 12 * token)));
        a.settled();
        a.recorded(2);
        base_parts b{"b", 0};
        b.adopt_unknown({.revision = 0, .zones = {}});
        b.recorded(2);
        for (base_parts* zone : {&a, &b})
        {
            zone->adopt(share(quotas(2, {"a", "b"}, 12 * token, 12 * token)));
        }
        CPPUNIT_ASSERT_EQUAL(6 * token, a.base_part("t").rate);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, b.base_part("t").rate);
        b.settled();
        // Revision 2 is not announced before the loans of zone a fit.
        b.other_zone_uses("a", a.announced());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, b.base_part("t").rate);
        a.settled();
        b.other_zone_uses("a", a.announced());
        CPPUNIT_ASSERT_EQUAL(6 * token, b.base_part("t").rate);
    }

    void no_order_of_adoption_exceeds_the_revisions_in_use()
    {
        const std::vector<std::string> all{"a", "b", "c"};
        for (std::uint64_t seed = 0; seed < 2000; ++seed)
        {
            core::random_source random{seed};
            std::vector<std::shared_ptr<const quota_revision>> revisions;
            std::int64_t most_rate = 0;
            std::int64_t most_burst = 0;
            std::vector<base_parts> zones;
            zones.reserve(all.size());
            for (const std::string& zone : all)
            {
                zones.emplace_back(zone, 0);
            }
            for (int step = 0; step < 60; ++step)
            {
                if (revisions.empty() || random.chance(0.1))
                {
                    std::vector<std::string> some = all;
                    some.resize(revisions.empty() ? 3 : 1 + random.below(3));
                    const auto amount = [&random]
                    { return static_cast<std::int64_t>(1 + random.below(60)) * token / 2; };
                    revisions.push_back(share(quotas(revisions.size() + 1, some, amount(), amount())));
                    most_rate = std::max(most_rate, revisions.back()->tenants.at("t").rate);
                    most_burst = std::max(most_burst, revisions.back()->tenants.at("t").burst);
                }
                base_parts& zone = zones[random.below(3)];
                const std::size_t other = random.below(3);
                const auto& next = revisions[random.below(revisions.size())];
                if (!zone.newest() && revisions.size() > 1)
                {
                    zone.adopt_unknown({.revision = 0, .zones = all});
                }
                zone.adopt(next);
                zone.recorded(revisions.size());
                zone.settled();
                zone.other_zone_uses(all[other], zones[other].announced());
                part sum;
                for (const base_parts& each : zones)
                {
                    sum += each.newest() ? each.base_part("t") : part{};
                }
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                       sum.rate <= most_rate && sum.capacity <= most_burst);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(base_parts_test);

} // namespace laburnumreach::quota
