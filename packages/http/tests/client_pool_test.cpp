#include "laburnumreach/http/client_pool.hpp"

#include "echo_server.hpp"
#include "raw_caller.hpp"
#include "scripted_peer.hpp"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <linux/filter.h>

namespace laburnumreach::http
{

class client_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_pool_test);
    CPPUNIT_TEST(connections_are_reused);
    CPPUNIT_TEST(refused_connect_is_not_run);
    CPPUNIT_TEST(invalid_request_is_not_sent);
    CPPUNIT_TEST(expired_deadline_sends_nothing);
    CPPUNIT_TEST(closed_idle_connection_is_replaced);
    CPPUNIT_TEST(broken_reused_connection_is_not_retried);
    CPPUNIT_TEST(early_refusal_of_a_large_body_is_read);
    CPPUNIT_TEST(cancel_ends_a_waiting_exchange);
    CPPUNIT_TEST(hang_up_of_the_caller_ends_a_waiting_exchange);
    CPPUNIT_TEST(delayed_response_is_reported_once);
    CPPUNIT_TEST(peer_that_acknowledges_nothing_is_silent);
    CPPUNIT_TEST(peer_that_does_not_read_is_not_silent);
    CPPUNIT_TEST(connection_fields_are_not_forwarded);
    CPPUNIT_TEST_SUITE_END();

    static core::time_point soon() { return core::boot_clock::now() + std::chrono::seconds{30}; }

    /// Receives a request and never responds.
    static void receive_without_responding(scripted_peer& peer, int descriptor, int)
    {
        peer.receive_request(descriptor);
        scripted_peer::wait_for_close(descriptor);
    }

public:
    /// Guards against a new connection for each request.
    void connections_are_reused()
    {
        const auto running = start_server({.workers = 2});
        const endpoint destination{.address = "127.0.0.1", .port = running->port()};
        client_pool pool{client_pool_options{}};
        for (int count = 0; count < 3; ++count)
        {
            const exchange_result result =
                pool.send(destination, {.method = "POST", .target = "/a%20b?c=d?e", .body = "xyz"});
            CPPUNIT_ASSERT(result.complete());
            CPPUNIT_ASSERT_EQUAL(std::string{"POST /a%20b?c=d?e xyz"}, result.answer.body);
            CPPUNIT_ASSERT_EQUAL(count > 0, result.reused);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.idle_count());
    }

    /// Guards against a connect failure that is reported as may_have_run and so is not retried.
    void refused_connect_is_not_run()
    {
        std::uint16_t closed_port = 0;
        {
            const auto running = start_server({.workers = 1});
            closed_port = running->port();
        }
        client_pool pool{client_pool_options{}};
        const endpoint destination{.address = "127.0.0.1", .port = closed_port};
        const exchange_result result = pool.send(destination, {.deadline = soon()});
        CPPUNIT_ASSERT(result.progress == exchange_progress::connect_failed);
        CPPUNIT_ASSERT(result.verdict() == (core::verdict{.result = core::outcome::not_run,
                                                          .why = core::reason::connect_failed}));
        CPPUNIT_ASSERT(!pool.probe(destination, std::chrono::seconds{10}));
        CPPUNIT_ASSERT(pool.send({.address = "no number", .port = 1}, {}).progress ==
                       exchange_progress::connect_failed);
    }

    /// Guards against a field, target or method that injects a second request.
    void invalid_request_is_not_sent()
    {
        scripted_peer peer{receive_without_responding};
        client_pool pool{client_pool_options{}};
        const headers split{{"X", "a\r\nY: b"}};
        for (const outgoing_request& request :
             {outgoing_request{.headers = &split}, outgoing_request{.target = "/a b"},
              outgoing_request{.target = "http://h/"}, outgoing_request{.method = "GET /x"}})
        {
            const exchange_result result = pool.send(peer.served_endpoint(), request);
            CPPUNIT_ASSERT(result.progress == exchange_progress::not_sent);
            CPPUNIT_ASSERT(result.error == exchange_error::invalid_request);
        }
        CPPUNIT_ASSERT_EQUAL(0, peer.requests());
    }

    /// Guards against sending a request whose deadline has passed.
    void expired_deadline_sends_nothing()
    {
        scripted_peer peer{receive_without_responding};
        client_pool pool{client_pool_options{}};
        CPPUNIT_ASSERT(pool.probe(peer.served_endpoint(), std::chrono::seconds{10}));
        for (int count = 0; count < 2; ++count)
        {
            const exchange_result result =
                pool.send(peer.served_endpoint(), {.deadline = core::boot_clock::now()});
            CPPUNIT_ASSERT(result.verdict() == (core::verdict{.result = core::outcome::not_run,
                                                              .why = core::reason::deadline_exceeded}));
        }
        CPPUNIT_ASSERT_EQUAL(0, peer.requests());
    }

    /// Guards against losing a request on a connection that the peer closed while it was idle.
    void closed_idle_connection_is_replaced()
    {
        std::atomic<int> closed{0};
        scripted_peer peer{[&closed](scripted_peer& upstream, int descriptor, int)
                           {
                               upstream.receive_request(descriptor);
                               scripted_peer::send(descriptor, "HTTP/1.1 204 No Content\r\n\r\n");
                               ::shutdown(descriptor, SHUT_WR);
                               scripted_peer::wait_until_delivered(descriptor);
                               ++closed;
                               closed.notify_all();
                               scripted_peer::wait_for_close(descriptor);
                           }};
        client_pool pool{client_pool_options{}};
        for (int count = 0; count < 3; ++count)
        {
            CPPUNIT_ASSERT(pool.send(peer.served_endpoint(), {.deadline = soon()}).complete());
            closed.wait(count);
        }
        CPPUNIT_ASSERT_EQUAL(3, peer.requests());
    }

    /// Guards against resending a request that may have run.
    void broken_reused_connection_is_not_retried()
    {
        scripted_peer peer{[](scripted_peer& upstream, int descriptor, int)
                           {
                               upstream.receive_request(descriptor);
                               scripted_peer::send(descriptor, "HTTP/1.1 204 No Content\r\n\r\n");
                               upstream.receive_request(descriptor);
                           }};
        client_pool pool{client_pool_options{}};
        CPPUNIT_ASSERT(pool.send(peer.served_endpoint(), {.deadline = soon()}).complete());
        const exchange_result second = pool.send(peer.served_endpoint(), {.deadline = soon()});
        CPPUNIT_ASSERT(second.reused);
        CPPUNIT_ASSERT(second.verdict() == (core::verdict{.result = core::outcome::may_have_run,
                                                          .why = core::reason::connection_lost}));
        CPPUNIT_ASSERT_EQUAL(2, peer.requests());
    }

    /// Guards against losing a refusal because the peer does not read the entire body.
    void early_refusal_of_a_large_body_is_read()
    {
        const auto running =
            start_server({.workers = 1}, [](incoming_request&, response& answer) { answer.status = 413; });
        const std::string body(16 * 1024 * 1024, 'b');
        client_pool pool{client_pool_options{}};
        const exchange_result result = pool.send({.address = "127.0.0.1", .port = running->port()},
                                                 {.method = "PUT", .body = body, .deadline = soon()});
        CPPUNIT_ASSERT(result.complete());
        CPPUNIT_ASSERT_EQUAL(413, result.answer.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.idle_count());
    }

    /// Guards against a cancelled exchange that keeps waiting for its response.
    void cancel_ends_a_waiting_exchange()
    {
        cancellation control;
        scripted_peer peer{[&control](scripted_peer& upstream, int descriptor, int)
                           {
                               upstream.receive_request(descriptor);
                               control.cancel();
                               scripted_peer::wait_for_close(descriptor);
                           }};
        client_pool pool{client_pool_options{}};
        const exchange_result result = pool.send(peer.served_endpoint(), {.deadline = soon()}, &control);
        CPPUNIT_ASSERT(result.verdict() == (core::verdict{.result = core::outcome::may_have_run,
                                                          .why = core::reason::cancelled}));
        // An exchange with a cancelled control sends nothing.
        const exchange_result later = pool.send(peer.served_endpoint(), {.deadline = soon()}, &control);
        CPPUNIT_ASSERT(later.verdict() ==
                       (core::verdict{.result = core::outcome::not_run, .why = core::reason::cancelled}));
        CPPUNIT_ASSERT_EQUAL(1, peer.requests());
    }

    /// Guards against an exchange that continues after the caller disconnected.
    void hang_up_of_the_caller_ends_a_waiting_exchange()
    {
        std::promise<core::verdict> seen;
        std::promise<void> arrived;
        client_pool pool{client_pool_options{}};
        scripted_peer peer{[&arrived](scripted_peer& upstream, int descriptor, int)
                           {
                               upstream.receive_request(descriptor);
                               arrived.set_value();
                               scripted_peer::wait_for_close(descriptor);
                           }};
        const auto running =
            start_server({.workers = 1},
                         [&](incoming_request& request, response&)
                         {
                             const outgoing_request forwarded{.deadline = soon(),
                                                              .cancel_on_hangup = request.descriptor()};
                             seen.set_value(pool.send(peer.served_endpoint(), forwarded).verdict());
                         });
        raw_caller caller{running->port()};
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        arrived.get_future().wait();
        caller.close();
        CPPUNIT_ASSERT(seen.get_future().get() == (core::verdict{.result = core::outcome::may_have_run,
                                                                 .why = core::reason::cancelled}));
    }

    /// Guards against detecting an unresponsive connection only at the deadline.
    void delayed_response_is_reported_once()
    {
        scripted_peer peer{receive_without_responding};
        client_pool pool{client_pool_options{}};
        int reports = 0;
        bool reachable = false;
        outgoing_request request{.deadline = soon(),
                                 .first_byte_timeout = std::chrono::milliseconds{60},
                                 .on_response_delay =
                                     [&]
                                 {
                                     ++reports;
                                     reachable = pool.probe(peer.served_endpoint(), std::chrono::seconds{10});
                                     return true;
                                 },
                                 .response_delay_threshold = std::chrono::milliseconds{20}};
        CPPUNIT_ASSERT(pool.send(peer.served_endpoint(), request).error == exchange_error::silent);
        CPPUNIT_ASSERT_EQUAL(1, reports);
        CPPUNIT_ASSERT(reachable);
        request.on_response_delay = [] { return false; };
        request.first_byte_timeout = std::chrono::milliseconds{0};
        const exchange_result given_up = pool.send(peer.served_endpoint(), request);
        CPPUNIT_ASSERT(given_up.error == exchange_error::silent);
        CPPUNIT_ASSERT(given_up.progress == exchange_progress::sent);
    }

    /// Guards against waiting on a connection whose segments are all lost while new connections work.
    void peer_that_acknowledges_nothing_is_silent()
    {
        std::promise<void> filter_attached;
        std::promise<void> finished;
        scripted_peer peer{[&](scripted_peer&, int descriptor, int)
                           {
                               // Drops every further segment before the peer's TCP stack acknowledges it.
                               sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
                               const sock_fprog program{.len = 1, .filter = &drop_all};
                               ::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                                            sizeof program);
                               filter_attached.set_value();
                               finished.get_future().wait();
                           }};
        client_pool pool{client_pool_options{.silent_peer_timeout = std::chrono::milliseconds{200}}};
        const bool connected = pool.probe(peer.served_endpoint(), std::chrono::seconds{10});
        filter_attached.get_future().wait();
        const core::verdict verdict = pool.send(peer.served_endpoint(), {.deadline = soon()}).verdict();
        finished.set_value();
        CPPUNIT_ASSERT(connected);
        CPPUNIT_ASSERT(verdict == (core::verdict{.result = core::outcome::may_have_run,
                                                 .why = core::reason::upstream_silent}));
    }

    /// Guards against aborting an upload because a busy upstream reads late (zero receive window).
    void peer_that_does_not_read_is_not_silent()
    {
        const std::string body(16 * 1024 * 1024, 'b');
        const auto running = start_server({.workers = 1},
                                          [](incoming_request& request, response& answer)
                                          {
                                              ::sleep(1);
                                              echo(request, answer);
                                          });
        client_pool pool{client_pool_options{.silent_peer_timeout = std::chrono::milliseconds{200}}};
        const exchange_result result = pool.send(
            {.address = "127.0.0.1", .port = running->port()},
            {.method = "PUT", .body = body, .deadline = soon(), .max_response_body_bytes = 2 * body.size()});
        CPPUNIT_ASSERT(result.complete());
        CPPUNIT_ASSERT_EQUAL(body.size() + std::string{"PUT / "}.size(), result.answer.body.size());
    }

    /// Guards against forwarding framing fields of the caller that contradict the forwarded body.
    void connection_fields_are_not_forwarded()
    {
        const auto running =
            start_server({.workers = 1},
                         [](incoming_request& request, response& answer)
                         {
                             for (const auto& [name, value] : request.head().headers)
                             {
                                 answer.body.append(name).append("=").append(value).append(" ");
                             }
                             std::string body;
                             read_whole_body(request, body);
                         });
        client_pool pool{client_pool_options{}};
        headers fields{{"Host", "service"},      {"Connection", "X-Hop, close"},
                       {"Content-Length", "99"}, {"Transfer-Encoding", "x"},
                       {"X-Hop", "1"},           {"X-End", "a%0d%0ab"}};
        const endpoint destination{.address = "127.0.0.1", .port = running->port()};
        const outgoing_request request{
            .method = "PUT", .headers = &fields, .body = "abc", .deadline = soon()};
        CPPUNIT_ASSERT_EQUAL(std::string{"Content-Length=3 Host=service X-End=a%0d%0ab X-Hop=1 "},
                             pool.send(destination, request).answer.body);
        remove_hop_by_hop(fields);
        CPPUNIT_ASSERT_EQUAL(std::string{"Content-Length=3 Host=service X-End=a%0d%0ab "},
                             pool.send(destination, request).answer.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_pool_test);

} // namespace laburnumreach::http
