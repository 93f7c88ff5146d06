#include "laburnumreach/sidecar/request_router.hpp"

#include "scripted_instance.hpp"
#include "test_names.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against wrong decisions on a request between its arrival and its response. The instance is beside
/// the daemon, and no other daemon is known.
class request_router_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_router_test);
    CPPUNIT_TEST(rejected_request_without_another_instance_takes_no_retry);
    CPPUNIT_TEST(broken_download_without_another_instance_is_a_bad_gateway);
    CPPUNIT_TEST(retries_have_no_slack_before_the_fleet_is_known);
    CPPUNIT_TEST(request_without_memory_for_it_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->state.apply({.id = "i", .address = "a", .service = "s", .slots = 10, .sequence = 1});
        routing_config::contents parts{.version = 1};
        parts.hosts.push_back({.host = "h",
                               .routes = {{.name = "r",
                                           .path_prefix = "/",
                                           .idempotent = true,
                                           .max_instances = 3,
                                           .timeout = 5s,
                                           .latency_objective = 1s,
                                           .destinations = {{.service = "s"}}}}});
        this->router.configure(std::make_shared<const routing_config>(std::move(parts)));
        this->router.set_daemon_count(1);
        this->router.on_status("d", this->dispatcher.status());
    }

    /// The budget is the whole fleet's: a retry that is not sent must not use it up, nor count as one.
    void rejected_request_without_another_instance_takes_no_retry()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t) {
            peer.send(
                "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt: a-1\r\nContent-Length: 0\r\n\r\n");
        };
        CPPUNIT_ASSERT_EQUAL(503, this->status_of_request());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server.requests.size());
        CPPUNIT_ASSERT(this->metrics.text().find("repeats_total") == std::string::npos);
    }

    void broken_download_without_another_instance_is_a_bad_gateway()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        {
            peer.send(
                "HTTP/1.1 200 OK\r\nX-Attempt: a-1\r\nX-Signature: s\r\nContent-Length: 50\r\n\r\npart");
            close_after_the_response(peer);
        };
        CPPUNIT_ASSERT_EQUAL(502, this->status_of_request());
        CPPUNIT_ASSERT(this->metrics.text().find("repeats_total") == std::string::npos);
    }

    /// Otherwise each of many daemons that start without the store would use the slack of the whole fleet.
    void retries_have_no_slack_before_the_fleet_is_known()
    {
        const fleet_retry_settings retries{
            .leaf_route_ratio = 0.2, .parent_route_ratio = 0.1, .fleet_slack = 40};
        CPPUNIT_ASSERT_EQUAL(0.0, make_retry_budget(retries, false, 0).slack);
        CPPUNIT_ASSERT_EQUAL(2.0, make_retry_budget(retries, false, 10).slack);
        CPPUNIT_ASSERT_EQUAL(0.2, make_retry_budget(retries, false, 10).ratio);
        CPPUNIT_ASSERT_EQUAL(0.1, make_retry_budget(retries, true, 10).ratio);
    }

    void request_without_memory_for_it_is_refused()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send("HTTP/1.1 200 OK\r\nX-Attempt: a-1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"); };
        this->memory.update(1000);
        CPPUNIT_ASSERT_EQUAL(503, this->status_of_request());
        CPPUNIT_ASSERT(this->server.requests.empty());
        this->memory.update(0);
        CPPUNIT_ASSERT_EQUAL(200, this->status_of_request());
    }

private:
    static void close_after_the_response(scripted_instance::connection& peer)
    {
        asio::post(peer.executor(), [held = peer.shared_from_this()]
                   { asio::post(held->executor(), [held] { held->close(); }); });
    }

    int status_of_request()
    {
        const auto request = std::make_shared<exchange>();
        request->head.method = "GET";
        request->head.target = "/x";
        request->head.headers.emplace("Host", "h");
        request->head.headers.emplace("X-Attempt", "a-1");
        request->received = core::boot_clock::now();
        this->router.handle(request);
        const core::time_point limit = core::boot_clock::now() + 10s;
        while (!request->done() && core::boot_clock::now() < limit)
        {
            this->io.run_one_for(10ms);
            this->dispatcher.tick(core::boot_clock::now());
            this->router.tick(core::boot_clock::now());
        }
        CPPUNIT_ASSERT(request->done());
        return request->response().status;
    }

    asio::io_context io{1};
    scripted_instance server{this->io};
    instance_state state{"a"};
    event_log log{"d"};
    sidecar_metrics metrics;
    body_memory memory{1000};
    header_names names = test_names();
    instance_dispatcher dispatcher{this->io,
                                   {.instance_address = this->server.address(), .names = this->names},
                                   this->state,
                                   this->log,
                                   this->metrics};
    request_router router{{.daemon_id = "d",
                           .zone = "z",
                           .service = "s",
                           .names = this->names,
                           .retries = {.leaf_route_ratio = 0.2, .fleet_slack = 20},
                           .memory = &this->memory},
                          this->dispatcher,
                          this->log,
                          this->metrics};
};
CPPUNIT_TEST_SUITE_REGISTRATION(request_router_test);

} // namespace laburnumreach::sidecar
