#include "laburnumreach/sidecar/config_fetch_policy.hpp"
#include "laburnumreach/sidecar/status_change_tracker.hpp"
#include "laburnumreach/sidecar/store_watch_role.hpp"
#include "laburnumreach/sidecar/zone_demand_aggregator.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1h};

} // namespace

/// Guards against each daemon fetching a new configuration from all others.
class config_fetch_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_fetch_policy_test);
    CPPUNIT_TEST(requests_from_one_of_many_peers);
    CPPUNIT_TEST(requests_from_another_peer_after_a_timeout);
    CPPUNIT_TEST(prefers_peers_of_the_own_zone);
    CPPUNIT_TEST(starting_daemon_requests_from_any_peer);
    CPPUNIT_TEST_SUITE_END();

public:
    /// 89 peers report a new version within half a second; the document arrives after 5 ms.
    void requests_from_one_of_many_peers()
    {
        int requests = 0;
        std::uint64_t known = 1;
        for (int peer = 0; peer < 89; ++peer)
        {
            const core::time_point now = start + peer * 5ms;
            requests += this->policy.should_request(known, 2, peer % 3 == 0, now) ? 1 : 0;
            if (requests == 1 && known == 1 && peer > 0)
            {
                known = 2;
                this->policy.on_config_received();
            }
        }
        CPPUNIT_ASSERT_EQUAL(1, requests);
    }

    void requests_from_another_peer_after_a_timeout()
    {
        CPPUNIT_ASSERT(this->policy.should_request(1, 2, true, start));
        CPPUNIT_ASSERT(!this->policy.should_request(1, 2, true, start + 100ms));
        CPPUNIT_ASSERT(this->policy.should_request(1, 2, true, start + 300ms));
    }

    void prefers_peers_of_the_own_zone()
    {
        CPPUNIT_ASSERT(!this->policy.should_request(1, 2, false, start));
        CPPUNIT_ASSERT(this->policy.should_request(1, 2, true, start + 50ms));
        this->policy.on_config_received();
        // The whole zone may be cut off from the store.
        CPPUNIT_ASSERT(!this->policy.should_request(2, 3, false, start + 1s));
        CPPUNIT_ASSERT(this->policy.should_request(2, 3, false, start + 1500ms));
    }

    void starting_daemon_requests_from_any_peer()
    {
        CPPUNIT_ASSERT(this->policy.should_request(0, 2, false, start));
    }

private:
    config_fetch_policy policy;
};
CPPUNIT_TEST_SUITE_REGISTRATION(config_fetch_policy_test);

/// Guards against store calls growing in number with the fleet, and against a zone in which no daemon watches
/// the store.
class store_watch_role_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_watch_role_test);
    CPPUNIT_TEST(first_two_daemons_are_primary);
    CPPUNIT_TEST(standby_replaces_a_daemon_without_store_access);
    CPPUNIT_TEST_SUITE_END();

public:
    void first_two_daemons_are_primary()
    {
        CPPUNIT_ASSERT(choose_store_watch_role(0, 0) == store_watch_role::primary);
        CPPUNIT_ASSERT(choose_store_watch_role(1, 1) == store_watch_role::primary);
        CPPUNIT_ASSERT(choose_store_watch_role(2, 2) == store_watch_role::none);
        CPPUNIT_ASSERT(choose_store_watch_role(29, 29) == store_watch_role::none);
    }

    void standby_replaces_a_daemon_without_store_access()
    {
        CPPUNIT_ASSERT(choose_store_watch_role(2, 1) == store_watch_role::standby);
        CPPUNIT_ASSERT(choose_store_watch_role(3, 2) == store_watch_role::none);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(store_watch_role_test);

/// Guards against traffic between zones growing with the square of the fleet size.
class zone_demand_aggregator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(zone_demand_aggregator_test);
    CPPUNIT_TEST(sums_recent_reports);
    CPPUNIT_TEST(customers_that_are_not_listed_keep_their_demand);
    CPPUNIT_TEST_SUITE_END();

public:
    void sums_recent_reports()
    {
        zone_demand_aggregator zone;
        zone.record("a", {.customers = {{"c", 2}}, .routes = {{"r", 0, 10}, {"r", 1, 1}}}, start);
        zone.record("b", {.customers = {{"c", 3}, {"d", 1}}, .routes = {{"r", 0, 5}}}, start + 1s);
        const demand_report both = zone.sum(start + 1s);
        CPPUNIT_ASSERT(both.covers_zone);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, both.routes.size());
        CPPUNIT_ASSERT_EQUAL(15.0, both.routes.front().rate);
        CPPUNIT_ASSERT_EQUAL(5.0, both.customers.front().rate);
        const demand_report one = zone.sum(start + 2s);
        CPPUNIT_ASSERT_EQUAL(5.0, one.routes.front().rate);
        CPPUNIT_ASSERT_EQUAL(3.0, one.customers.front().rate);
    }

    void customers_that_are_not_listed_keep_their_demand()
    {
        zone_demand_aggregator zone;
        zone.record("a", {.customers = {{"c", 2}, {"d", 1}}, .routes = {}}, start);
        zone.record("a", {.customers = {{"d", 4}}, .routes = {}}, start + 500ms);
        const demand_report total = zone.sum(start + 500ms);
        CPPUNIT_ASSERT_EQUAL(2.0, total.customers.at(0).rate);
        CPPUNIT_ASSERT_EQUAL(4.0, total.customers.at(1).rate);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(zone_demand_aggregator_test);

/// Guards against probe replies that repeat an unchanged status, and against an outdated status of instances.
class status_change_tracker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(status_change_tracker_test);
    CPPUNIT_TEST(reports_only_significant_changes);
    CPPUNIT_TEST_SUITE_END();

public:
    void reports_only_significant_changes()
    {
        status_change_tracker tracker;
        instance_status status{.instance_id = "i", .service = "s", .accepts_work = true, .slots = 100};
        CPPUNIT_ASSERT(tracker.should_send(status, start));
        status.running = 10;
        CPPUNIT_ASSERT(!tracker.should_send(status, start + 500ms));
        status.running = 11;
        CPPUNIT_ASSERT(tracker.should_send(status, start + 500ms));
        status.accepts_work = false;
        CPPUNIT_ASSERT(tracker.should_send(status, start + 600ms));
        CPPUNIT_ASSERT(!tracker.should_send(status, start + 2s));
        CPPUNIT_ASSERT(tracker.should_send(status, start + 2600ms));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(status_change_tracker_test);

} // namespace laburnumreach::sidecar
