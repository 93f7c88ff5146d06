#include "laburnumreach/sidecar/load_shedder.hpp"

#include "laburnumreach/core/random_source.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1h};

route make_route(std::string name, std::string service, int priority, bool open = false)
{
    return {.name = std::move(name),
            .path_prefix = "/",
            .open = open,
            .priority = priority,
            .destinations = {{.service = std::move(service)}}};
}

/// Two callers' routes whose chains end at the service "table", and uploads that do not reach it.
fleet_routes make_routes()
{
    fleet_routes::contents parts{.version = 1};
    parts.hosts.push_back(
        {.host = "h",
         .routes = {make_route("page", "pages", 2), make_route("order", "orders", 0),
                    make_route("upload", "files", 1), make_route("entry", "table", 0, true)}});
    parts.customers.push_back({.owner = {.name = "c", .priority = 1}, .keys = {"k"}});
    return fleet_routes{std::move(parts)};
}

const std::vector<call_ratio> chains{{"page", "entry", 1.0}, {"order", "entry", 2.0}};

instance_status status_of(const std::string& service, std::uint32_t slots, std::uint32_t load)
{
    return {.instance_id = "i",
            .service = service,
            .accepts_work = true,
            .slots = slots,
            .running = std::min(slots, load),
            .queued = load > slots ? load - slots : 0};
}

} // namespace

/// Guards against overload of the last service of the chains being met with the wrong refusals.
class load_shedder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_shedder_test);
    CPPUNIT_TEST(sheds_the_least_urgent_route_on_the_chain_first);
    CPPUNIT_TEST(customers_of_one_priority_keep_the_order_of_routes);
    CPPUNIT_TEST(service_without_instances_sheds_all_that_need_it);
    CPPUNIT_TEST(split_route_sheds_only_for_the_chosen_destination);
    CPPUNIT_TEST(burst_at_the_end_of_chains_keeps_orders_and_fills_the_slots);
    CPPUNIT_TEST_SUITE_END();

public:
    void sheds_the_least_urgent_route_on_the_chain_first()
    {
        load_shedder shedder = loaded_shedder();
        CPPUNIT_ASSERT(shedder.level("table") > 0.5 && shedder.level("table") < 1.0);
        CPPUNIT_ASSERT(sheds(shedder, "page", "pages"));
        CPPUNIT_ASSERT(!sheds(shedder, "order", "orders"));
        CPPUNIT_ASSERT(!sheds(shedder, "upload", "files"));
    }

    /// The deployment gives all customers one priority, which precedes that of the route.
    void customers_of_one_priority_keep_the_order_of_routes()
    {
        const customer owner{.name = "c", .priority = 1};
        CPPUNIT_ASSERT(urgency_of(make_route("order", "s", 0), &owner) <
                       urgency_of(make_route("page", "s", 2), &owner));
        const customer favoured{.name = "f", .priority = 0};
        CPPUNIT_ASSERT(urgency_of(make_route("page", "s", 2), &favoured) <
                       urgency_of(make_route("order", "s", 0), &owner));
    }

    void service_without_instances_sheds_all_that_need_it()
    {
        load_shedder shedder = loaded_shedder();
        shedder.forget("d");
        shedder.update(start + 10s);
        CPPUNIT_ASSERT(sheds(shedder, "order", "orders"));
        CPPUNIT_ASSERT(!sheds(shedder, "upload", "files"));
        shedder.record_status("d", status_of("table", 30, 0));
        for (int step = 0; step < 100; ++step)
        {
            shedder.update(start + 11s + step * 100ms);
        }
        CPPUNIT_ASSERT(!sheds(shedder, "page", "pages"));
    }

    void split_route_sheds_only_for_the_chosen_destination()
    {
        load_shedder shedder = loaded_shedder();
        shedder.record_status("n", status_of("new", 30, 10));
        shedder.update(start + 10s);
        shedder.forget("n");
        shedder.update(start + 11s);
        CPPUNIT_ASSERT(!sheds(shedder, "upload", "files"));
    }

    /// Replays a demand of 1.3 times the slots of the last service for 20 s, of which pages take two thirds.
    /// The level acts on what arrives half a second later.
    void burst_at_the_end_of_chains_keeps_orders_and_fills_the_slots()
    {
        load_shedder shedder;
        shedder.configure(make_routes());
        shedder.record_ratios(chains);
        core::random_source random{3};
        constexpr double slots = 90;
        constexpr int pages_per_step = 78; // With orders 1.3 times what the slots take in a step.
        constexpr int orders_per_step = 20;
        constexpr double calls_per_slot_and_step = 1.0;
        std::deque<double> on_the_way(5, 0.0);
        double backlog = 0;
        double used = 0;
        int orders_shed = 0;
        double worst_backlog = 0;
        constexpr int steps = 200;
        constexpr int settled = 30;
        for (int step = 0; step < steps; ++step)
        {
            double calls = 0;
            for (int request = 0; request < pages_per_step; ++request)
            {
                calls += shedder.sheds(route_named("page"), "pages", rank("page"), random.uniform()) ? 0 : 1;
            }
            for (int request = 0; request < orders_per_step; ++request)
            {
                const bool shed =
                    shedder.sheds(route_named("order"), "orders", rank("order"), random.uniform());
                orders_shed += shed && step >= settled ? 1 : 0;
                calls += shed ? 0 : 2;
            }
            on_the_way.push_back(calls);
            backlog += on_the_way.front();
            on_the_way.pop_front();
            const double served = std::min(backlog, slots * calls_per_slot_and_step);
            shedder.record_status("d", status_of("table", static_cast<std::uint32_t>(slots),
                                                 static_cast<std::uint32_t>(backlog)));
            shedder.update(start + step * 100ms);
            backlog -= served;
            used += step >= settled ? served : 0;
            worst_backlog = step >= settled ? std::max(worst_backlog, backlog) : 0;
        }
        const double use = used / (slots * calls_per_slot_and_step * (steps - settled));
        CPPUNIT_ASSERT_MESSAGE("use " + std::to_string(use), use > 0.85);
        CPPUNIT_ASSERT_EQUAL(0, orders_shed);
        CPPUNIT_ASSERT_MESSAGE("backlog " + std::to_string(worst_backlog), worst_backlog < 2 * slots);
    }

private:
    static route route_named(const std::string& name)
    {
        return make_route(name, "", name == "page" ? 2 : name == "upload" ? 1 : 0);
    }

    static urgency rank(const std::string& name)
    {
        const customer owner{.name = "c", .priority = 1};
        return urgency_of(route_named(name), &owner);
    }

    static bool sheds(const load_shedder& shedder, const std::string& name, const std::string& service)
    {
        return shedder.sheds(route_named(name), service, rank(name), 0.0);
    }

    static load_shedder loaded_shedder()
    {
        load_shedder shedder;
        shedder.configure(make_routes());
        shedder.record_ratios(chains);
        shedder.record_status("d", status_of("table", 30, 45));
        for (int step = 0; step < 8; ++step)
        {
            shedder.update(start + step * 100ms);
        }
        return shedder;
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(load_shedder_test);

} // namespace laburnumreach::sidecar
