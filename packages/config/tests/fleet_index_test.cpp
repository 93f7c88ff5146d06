#include "laburnumreach/config/fleet_config_toml.hpp"
#include "laburnumreach/config/fleet_index.hpp"
#include "laburnumreach/core/random_source.hpp"
#include "sample_configuration.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::config
{

/// Guards against a request that is handled under the rules of another route or the key of another tenant.
class fleet_index_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_index_test);
    CPPUNIT_TEST(longest_prefix_that_accepts_the_method_wins);
    CPPUNIT_TEST(agrees_with_a_scan_of_all_routes);
    CPPUNIT_TEST(keys_map_to_their_tenant_only);
    CPPUNIT_TEST(restricted_routes_admit_listed_tenants_only);
    CPPUNIT_TEST_SUITE_END();

public:
    void longest_prefix_that_accepts_the_method_wins()
    {
        const fleet_index index{*parse_fleet_config(sample_configuration), 7};
        const auto name = [&](std::string_view method, std::string_view path)
        {
            const auto route = index.find_route(*index.find_service("tally"), method, path);
            return route ? index.route(*route).name : std::string{"none"};
        };
        CPPUNIT_ASSERT_EQUAL(std::string{"fireball"}, name("POST", "/pages/alerts/1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"page"}, name("GET", "/pages/alerts/1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"rest"}, name("POST", "/pages/x"));
        CPPUNIT_ASSERT_EQUAL(std::string{"rest"}, name("GET", "/page"));
        CPPUNIT_ASSERT(!index.find_route(*index.find_service("sheets"), "GET", "/"));
        CPPUNIT_ASSERT(index.is_drained("tally-3"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, index.revision());
    }

    void agrees_with_a_scan_of_all_routes()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed)
        {
            core::random_source random{seed};
            const fleet_index index{random_routes(random)};
            for (int lookup = 0; lookup < 50; ++lookup)
            {
                const std::string path = random_path(random);
                const std::string_view method = random.chance(0.5) ? "GET" : "POST";
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ", path " + path,
                                       index.find_route(0, method, path) ==
                                           find_route_by_scan(index.config(), method, path));
            }
        }
    }

    void keys_map_to_their_tenant_only()
    {
        const fleet_index index{*parse_fleet_config(sample_configuration)};
        const auto match = index.find_key(sha256_of_key("foo"));
        CPPUNIT_ASSERT(match);
        CPPUNIT_ASSERT_EQUAL(std::string{"serra"}, index.tenant(match->tenant).name);
        CPPUNIT_ASSERT_EQUAL(std::string{"2026-08"}, index.tenant(match->tenant).keys[match->key].id);
        CPPUNIT_ASSERT(!index.find_key(sha256_of_key("bar")));
    }

    void restricted_routes_admit_listed_tenants_only()
    {
        const fleet_index index{*parse_fleet_config(sample_configuration)};
        const auto route = *index.find_route_by_name(*index.find_service("tally"), "fireball");
        CPPUNIT_ASSERT(index.tenant_allowed(route, *index.find_tenant("serra")));
        CPPUNIT_ASSERT(!index.tenant_allowed(route, *index.find_tenant("monte")));
        CPPUNIT_ASSERT(index.tenant_allowed(0, *index.find_tenant("monte")));
    }

private:
    static std::string random_path(core::random_source& random)
    {
        std::string path = "/";
        for (std::uint64_t length = random.below(6); length > 0; --length)
        {
            path += "ab/"[random.below(3)];
        }
        return path;
    }

    static fleet_config random_routes(core::random_source& random)
    {
        fleet_config config{
            .zones = {"a"}, .drained_instances = {}, .services = {}, .routes = {}, .tenants = {}};
        config.services.push_back({.name = "s", .depends_on = {}});
        for (int count = 0; count < 20; ++count)
        {
            route_config route;
            route.service = "s";
            route.method = random.chance(0.3) ? "*" : (random.chance(0.5) ? "GET" : "POST");
            route.path = random_path(random);
            const bool repeated =
                std::any_of(config.routes.begin(), config.routes.end(),
                            [&](const route_config& other)
                            { return other.path == route.path && other.method == route.method; });
            if (!repeated)
            {
                config.routes.push_back(route);
            }
        }
        return config;
    }

    /// Reference implementation of find_route: scans all routes.
    static std::optional<route_index> find_route_by_scan(const fleet_config& config, std::string_view method,
                                                         std::string_view path)
    {
        std::optional<route_index> best;
        const auto precedence = [&](route_index index)
        { return 2 * config.routes[index].path.size() + (config.routes[index].method == "*" ? 0 : 1); };
        for (route_index index = 0; index < config.routes.size(); ++index)
        {
            const route_config& route = config.routes[index];
            const bool matches =
                path.starts_with(route.path) && (route.method == "*" || route.method == method);
            if (matches && (!best || precedence(index) > precedence(*best)))
            {
                best = index;
            }
        }
        return best;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_index_test);

} // namespace laburnumreach::config
