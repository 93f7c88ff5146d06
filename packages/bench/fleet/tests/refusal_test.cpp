#include "laburnumreach/fleet/fleet_model.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <string>
#include <vector>

namespace laburnumreach::fleet
{

using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t token = quota::micro_tokens_per_token;
constexpr double steady_bound = 0.001;
constexpr double moving_bound = 0.01;

/// Three zones of four daemons and two tenants, large first.
fleet_options current_size()
{
    fleet_options options;
    options.seed = 7;
    options.check = false;
    options.quotas.tenants["large"] = {.rate = 100 * token, .burst = 200 * token};
    options.quotas.tenants["small"] = {.rate = 10 * token, .burst = 5 * token};
    return options;
}

void spread(fleet_model& fleet, const std::vector<double>& rates)
{
    for (std::size_t node = 0; node < fleet.node_count(); ++node)
    {
        for (std::size_t tenant = 0; tenant < rates.size(); ++tenant)
        {
            fleet.set_traffic(node, tenant, rates[tenant] / static_cast<double>(fleet.node_count()));
        }
    }
}

void assert_wrongful(const std::string& what, const fleet_model& fleet, std::size_t tenant, double bound)
{
    const tenant_statistics& seen = fleet.statistics(tenant);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::uint64_t{0}, seen.over_admitted);
    CPPUNIT_ASSERT_MESSAGE(what + ": " + std::to_string(seen.wrongful) + " of " +
                               std::to_string(seen.naive_admitted) + " refused",
                           seen.naive_admitted > 1000 && seen.wrongful_share() <= bound);
}

} // namespace

/// Guards against a distribution that refuses requests which one exact counter for the fleet admits.
class refusal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(refusal_test);
    CPPUNIT_TEST(steady_state);
    CPPUNIT_TEST(overload_still_uses_the_whole_rate);
    CPPUNIT_TEST(traffic_moves_to_another_daemon_or_zone);
    CPPUNIT_TEST(zone_cut_off);
    CPPUNIT_TEST_SUITE_END();

public:
    void steady_state()
    {
        const std::vector<std::vector<double>> loads{{50, 5}, {80, 5}, {95, 3}};
        for (const std::vector<double>& rates : loads)
        {
            fleet_model fleet{current_size()};
            fleet.run_for(10s);
            spread(fleet, rates);
            fleet.run_for(10s);
            fleet.reset_statistics();
            fleet.run_for(2000s);
            assert_wrongful("large at " + std::to_string(rates[0]), fleet, 0, steady_bound);
            assert_wrongful("small at " + std::to_string(rates[1]), fleet, 1, steady_bound);
        }
    }

    void overload_still_uses_the_whole_rate()
    {
        fleet_model fleet{current_size()};
        spread(fleet, {1000, 100});
        fleet.run_for(20s);
        fleet.reset_statistics();
        fleet.run_for(100s);
        for (std::size_t tenant = 0; tenant < 2; ++tenant)
        {
            const tenant_statistics& seen = fleet.statistics(tenant);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, seen.over_admitted);
            CPPUNIT_ASSERT(static_cast<double>(seen.admitted) >
                           0.98 * static_cast<double>(seen.naive_admitted));
        }
    }

    void traffic_moves_to_another_daemon_or_zone()
    {
        fleet_model fleet{current_size()};
        fleet.run_for(20s);
        fleet.reset_statistics();
        for (int move = 0; move < 100; ++move)
        {
            spread(fleet, {0, 0});
            fleet.set_traffic(fleet.random().below(fleet.node_count()), 0, 80.0);
            fleet.set_traffic(fleet.random().below(fleet.node_count()), 1, 5.0);
            fleet.run_for(5s);
        }
        assert_wrongful("large", fleet, 0, moving_bound);
        assert_wrongful("small", fleet, 1, moving_bound);
    }

    void zone_cut_off()
    {
        fleet_model fleet{current_size()};
        fleet.run_for(10s);
        spread(fleet, {80, 5});
        fleet.run_for(10s);
        fleet.reset_statistics();
        for (std::size_t node = 0; node < fleet.node_count(); ++node)
        {
            fleet.set_group(node, fleet.node(node).zone == 0 ? 1 : 0);
        }
        fleet.set_platform_reachable(1, false);
        fleet.run_for(400s);
        // The large tenant's base part is enough. The small one has one or two tokens in each zone.
        assert_wrongful("large", fleet, 0, moving_bound);
        assert_wrongful("small", fleet, 1, 0.15);
        std::cout << " refused while a zone is cut off: large " << 100 * fleet.statistics(0).wrongful_share()
                  << "%, small " << 100 * fleet.statistics(1).wrongful_share() << "%";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refusal_test);

} // namespace laburnumreach::fleet
