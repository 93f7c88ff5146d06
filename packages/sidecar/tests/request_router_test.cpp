#include "laburnumreach/sidecar/request_router.hpp"

#include "fake_receiver.hpp"
#include "laburnumreach/sidecar/call_reasons.hpp"
#include "scripted_instance.hpp"
#include "test_names.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against wrong decisions on a request between its arrival and its response. The instance is beside
/// the daemon, and no other daemon is known unless a test adds some.
class request_router_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_router_test);
    CPPUNIT_TEST(rejected_request_without_another_instance_takes_no_retry);
    CPPUNIT_TEST(broken_download_without_another_instance_is_a_bad_gateway);
    CPPUNIT_TEST(retries_have_no_slack_before_the_fleet_is_known);
    CPPUNIT_TEST(request_without_memory_for_it_is_refused);
    CPPUNIT_TEST(each_daemon_gets_calls_with_increasing_ids);
    CPPUNIT_TEST(reply_to_an_earlier_send_is_dropped);
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

    /// A receiver tells by the id whether it has received a call, so a call that is sent on to a second
    /// daemon must not look older there than it is.
    void each_daemon_gets_calls_with_increasing_ids()
    {
        this->router.on_status("d", {});
        fake_receiver first{this->io, "other-1"};
        fake_receiver second{this->io, "other-2"};
        const auto to_first = this->connect(first);
        const auto first_request = this->start_request();
        this->run_until([&] { return first.calls.size() == 1; });
        const auto to_second = this->connect(second);
        this->router.on_status("other-1", {});
        const auto second_request = this->start_request();
        this->run_until([&] { return second.calls.size() == 1; });
        first.send_reply(first.calls.front(), reply_kind::not_started, call_reason::instance_leaving);
        this->run_until([&] { return second.calls.size() == 2; });
        CPPUNIT_ASSERT(second.calls[0] < second.calls[1]);
        second.send_reply(second.calls[1], reply_kind::response);
        this->run_until([&] { return first_request->done(); });
        CPPUNIT_ASSERT(!second_request->done());
        second.send_reply(second.calls[0], reply_kind::response);
        this->run_until([&] { return second_request->done(); });
        to_first->close();
        to_second->close();
    }

    void reply_to_an_earlier_send_is_dropped()
    {
        this->router.on_status("d", {});
        fake_receiver other{this->io, "other"};
        const auto link = this->connect(other);
        const auto request = this->start_request();
        this->run_until([&] { return other.calls.size() == 1; });
        const std::uint64_t sent = other.calls.front();
        other.send_reply(sent, reply_kind::not_started, call_reason::instance_leaving);
        this->run_until([&] { return !link->has_open_calls(); });
        this->router.on_reply({.id = sent, .kind = static_cast<std::uint8_t>(reply_kind::response)});
        this->router.on_call_lost(sent);
        CPPUNIT_ASSERT(!request->done());
        this->run_until([&] { return request->done(); });
        CPPUNIT_ASSERT_EQUAL(503, request->response().status);
        link->close();
    }

private:
    static void close_after_the_response(scripted_instance::connection& peer)
    {
        asio::post(peer.executor(), [held = peer.shared_from_this()]
                   { asio::post(held->executor(), [held] { held->close(); }); });
    }

    std::shared_ptr<exchange> start_request()
    {
        auto request = std::make_shared<exchange>();
        request->head.method = "GET";
        request->head.target = "/x";
        request->head.headers.emplace("Host", "h");
        request->head.headers.emplace("X-Attempt", "a-1");
        request->received = core::boot_clock::now();
        this->router.handle(request);
        return request;
    }

    int status_of_request()
    {
        const auto request = this->start_request();
        this->run_until([&] { return request->done(); });
        return request->response().status;
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        const core::time_point limit = core::boot_clock::now() + 10s;
        while (!condition() && core::boot_clock::now() < limit)
        {
            this->io.run_one_for(10ms);
            const core::time_point now = core::boot_clock::now();
            this->dispatcher.tick(now);
            this->router.tick(now);
        }
        CPPUNIT_ASSERT(condition());
    }

    /// Connects the router to another daemon, which has an instance that is free.
    std::shared_ptr<peer_link> connect(fake_receiver& other)
    {
        const auto callbacks = std::make_shared<peer_link_callbacks>(make_idle_callbacks());
        callbacks->on_reply = [this](reply_message reply) { this->router.on_reply(std::move(reply)); };
        callbacks->on_status = [this](const std::string& daemon_id, const instance_status& status)
        { this->router.on_status(daemon_id, status); };
        auto link = std::make_shared<peer_link>(this->io, other.record(), this->fleet, callbacks, this->log);
        this->router.add_link(link);
        link->start();
        this->run_until([&] { return !other.hellos.empty(); });
        const instance_status free{.instance_id = "i", .service = "s", .accepts_work = true, .slots = 10};
        other.send_welcome(other.daemon_id, 1, free);
        this->run_until([&] { return link->usable(); });
        return link;
    }

    asio::io_context io{1};
    scripted_instance server{this->io};
    instance_state state{"a"};
    event_log log{"d"};
    fleet_state fleet{{.daemon_id = "d", .started_ms = 3}};
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
