#include "laburnumreach/sidecar/fleet_state.hpp"
#include "laburnumreach/sidecar/instance_state.hpp"
#include "laburnumreach/sidecar/routing_config.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1h};

instance_heartbeat heartbeat(std::uint64_t started_ms, std::uint64_t sequence, bool draining = false)
{
    return {.id = "i-1",
            .address = "10.0.0.1:80",
            .service = "s",
            .slots = 10,
            .draining = draining,
            .sequence = sequence,
            .started_ms = started_ms};
}

member_record record(const std::string& daemon_id, std::uint64_t started_ms, const std::string& address,
                     std::uint16_t port = 7000)
{
    return {.daemon_id = daemon_id, .started_ms = started_ms, .address = address, .peer_port = port};
}

} // namespace

/// Guards against sending work to an instance that left, and against delayed heartbeats.
class instance_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_state_test);
    CPPUNIT_TEST(delayed_heartbeat_does_not_undo_draining);
    CPPUNIT_TEST(heartbeat_of_an_earlier_incarnation_is_ignored);
    CPPUNIT_TEST(same_id_can_restart);
    CPPUNIT_TEST(heartbeat_of_another_address_is_ignored);
    CPPUNIT_TEST(deregistration_of_another_instance_is_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void delayed_heartbeat_does_not_undo_draining()
    {
        instance_state state{"10.0.0.1:80"};
        state.apply(heartbeat(1000, 1));
        CPPUNIT_ASSERT(state.accepts_work());
        state.apply(heartbeat(1000, 3, true));
        CPPUNIT_ASSERT(!state.accepts_work());
        state.apply(heartbeat(1000, 2));
        state.apply(heartbeat(1000, 4));
        CPPUNIT_ASSERT(!state.accepts_work());
    }

    void heartbeat_of_an_earlier_incarnation_is_ignored()
    {
        instance_state state{"10.0.0.1:80"};
        state.apply(heartbeat(2000, 1));
        CPPUNIT_ASSERT(!state.apply(heartbeat(1000, 9, true)));
        CPPUNIT_ASSERT(state.accepts_work());
    }

    void same_id_can_restart()
    {
        instance_state state{"10.0.0.1:80"};
        state.apply(heartbeat(1000, 9, true));
        CPPUNIT_ASSERT(state.apply(heartbeat(2000, 1)));
        CPPUNIT_ASSERT(state.accepts_work());
    }

    void heartbeat_of_another_address_is_ignored()
    {
        instance_state state{"10.0.0.2:80"};
        state.apply(heartbeat(1000, 1));
        CPPUNIT_ASSERT(!state.instance());
    }

    void deregistration_of_another_instance_is_ignored()
    {
        instance_state state{"10.0.0.1:80"};
        state.apply(heartbeat(1000, 1));
        CPPUNIT_ASSERT(!state.deregister("i-0"));
        CPPUNIT_ASSERT(state.accepts_work());
        CPPUNIT_ASSERT(state.deregister("i-1"));
        CPPUNIT_ASSERT(!state.accepts_work());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(instance_state_test);

/// Guards against a configuration or a member record being replaced by an older one.
class fleet_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_state_test);
    CPPUNIT_TEST(older_configuration_is_rejected);
    CPPUNIT_TEST(origin_of_a_configuration_is_told);
    CPPUNIT_TEST(undecodable_configuration_is_discarded);
    CPPUNIT_TEST(record_of_the_latest_incarnation_wins);
    CPPUNIT_TEST(records_that_name_no_daemon_are_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void older_configuration_is_rejected()
    {
        fleet_state fleet{{.daemon_id = "a"}};
        int applied = 0;
        fleet.config_received = [&](const std::string&, const config_origin&) { return ++applied > 0; };
        CPPUNIT_ASSERT(fleet.offer_config(5, "five"));
        CPPUNIT_ASSERT(!fleet.offer_config(4, "four"));
        CPPUNIT_ASSERT(!fleet.offer_config(5, "five"));
        CPPUNIT_ASSERT_EQUAL(1, applied);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, fleet.config_version());
    }

    void origin_of_a_configuration_is_told()
    {
        fleet_state fleet{{.daemon_id = "a"}};
        config_origin told;
        fleet.config_received = [&](const std::string&, const config_origin& origin)
        {
            told = origin;
            return true;
        };
        asio::io_context io;
        frame_stream stream{tcp::socket{io}};
        const std::vector<std::uint8_t> message =
            protocol::encode_message(config_message{.version = 5, .document = "five"});
        CPPUNIT_ASSERT(fleet.handle(stream, "b", frame_type::config, message));
        CPPUNIT_ASSERT(told.source == config_source::peer);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, told.peer);
    }

    void undecodable_configuration_is_discarded()
    {
        fleet_state fleet{{.daemon_id = "a"}};
        fleet.config_received = [](const std::string&, const config_origin&) { return false; };
        CPPUNIT_ASSERT(!fleet.offer_config(5, "five"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.config_version());
    }

    void record_of_the_latest_incarnation_wins()
    {
        fleet_state fleet{{.daemon_id = "a"}};
        const std::vector<member_record> records{record("b", 2, "10.0.0.2"), record("b", 1, "10.0.0.9"),
                                                 record("a", 9, "10.0.0.1")};
        fleet.merge(records);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.members().members().size());
        CPPUNIT_ASSERT_EQUAL(std::string{"10.0.0.2"}, fleet.members().members().at("b").address);
    }

    /// Connecting to an address that is none would throw on the traffic thread.
    void records_that_name_no_daemon_are_ignored()
    {
        fleet_state fleet{{.daemon_id = "a"}};
        fleet.merge(std::vector<member_record>{record("b", 1, "no address"), record("c", 1, ""),
                                               record("d", 1, "10.0.0.1:80"), record("e", 1, "10.0.0.1", 0),
                                               record(std::string(1000, 'f'), 1, "10.0.0.1"),
                                               record("", 1, "10.0.0.1")});
        CPPUNIT_ASSERT(fleet.members().members().empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(fleet_state_test);

/// Guards against requests being matched to the wrong route.
class routing_config_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_config_test);
    CPPUNIT_TEST(longest_prefix_of_the_host_wins);
    CPPUNIT_TEST(host_may_be_an_ipv6_address);
    CPPUNIT_TEST_SUITE_END();

public:
    void longest_prefix_of_the_host_wins()
    {
        routing_config::contents decoded{.version = 1};
        decoded.hosts.push_back(
            {.host = "H.example",
             .routes = {{.name = "short", .path_prefix = "/a/"}, {.name = "long", .path_prefix = "/a/b/"}}});
        const routing_config routes{std::move(decoded)};
        CPPUNIT_ASSERT_EQUAL(std::string{"long"}, routes.find_route("h.example:80", "/a/b/c?x=/a/")->name);
        CPPUNIT_ASSERT_EQUAL(std::string{"short"}, routes.find_route("h.example", "/a/bc")->name);
        CPPUNIT_ASSERT(routes.find_route("h.example", "/a") == nullptr);
        CPPUNIT_ASSERT(routes.find_route("other.example", "/a/") == nullptr);
    }

    void host_may_be_an_ipv6_address()
    {
        routing_config::contents decoded{.version = 1};
        decoded.hosts.push_back({.host = "[::1]", .routes = {{.name = "n", .path_prefix = "/"}}});
        const routing_config routes{std::move(decoded)};
        CPPUNIT_ASSERT(routes.find_route("[::1]", "/a") != nullptr);
        CPPUNIT_ASSERT(routes.find_route("[::1]:80", "/a") != nullptr);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(routing_config_test);

} // namespace laburnumreach::sidecar
