#include "laburnumreach/sidecar/peer_server.hpp"

#include "laburnumreach/sidecar/call_reasons.hpp"
#include "laburnumreach/sidecar/server_connection.hpp"
#include "test_names.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t sender_started_ms = 7;
constexpr std::uint64_t own_started_ms = 9;

/// HTTP server on the loopback address in place of an instance. Responds when the test calls answer().
class fake_instance
{
public:
    explicit fake_instance(asio::io_context& io)
        : acceptor(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}),
          context(std::make_shared<server_context>())
    {
        this->context->limits = [] { return caller_limits{}; };
        this->context->handle = [this](const std::shared_ptr<exchange>& request)
        { this->requests.push_back(request); };
        this->accept();
    }

    void answer(std::size_t index)
    {
        const std::string id{http::find_header(this->requests.at(index)->head.headers, "X-Attempt")};
        this->requests.at(index)->respond(
            {.status = 200, .fields = "X-Attempt: " + id + "\r\nX-Signature: s\r\n", .body = "whole"});
    }

    tcp::acceptor acceptor;
    std::vector<std::shared_ptr<exchange>> requests;

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](const error_code& error, tcp::socket socket)
            {
                if (!error)
                {
                    std::make_shared<server_connection>(std::move(socket), this->context)->start();
                    this->accept();
                }
            });
    }

    std::shared_ptr<server_context> context;
};

/// Client that sends and receives frames in place of another daemon.
class fake_peer
{
public:
    fake_peer(asio::io_context& io, const tcp::endpoint& address)
    {
        tcp::socket socket{io};
        socket.connect(address);
        this->stream = std::make_shared<frame_stream>(std::move(socket));
        this->stream->start(
            [this](frame_type type, std::span<const std::uint8_t> body)
            {
                ++this->frames[type];
                if (type == frame_type::reply)
                {
                    this->replies.push_back(*protocol::decode_message<reply_message>(body));
                }
            },
            [this] { this->closed = true; });
    }

    void send_hello(std::vector<std::uint64_t> pending = {}, std::uint64_t sender_ms = sender_started_ms,
                    const std::string& daemon_id = "peer")
    {
        this->stream->send(frame_type::hello,
                           hello_message{.sender = {.daemon_id = daemon_id, .started_ms = sender_ms},
                                         .pending_calls = std::move(pending),
                                         .receiver_started_ms = own_started_ms});
    }

    void send_probe(std::uint64_t config_version)
    {
        this->stream->send(frame_type::probe, probe_message{.sequence = 1,
                                                            .config_version = config_version,
                                                            .member_digest = 1,
                                                            .demand = {},
                                                            .tokens = {}});
    }

    void send_call(std::uint64_t id, bool idempotent)
    {
        this->stream->send(frame_type::call,
                           call_message{.id = id,
                                        .service = "s",
                                        .route = "r",
                                        .attempt_id = "a-" + std::to_string(id),
                                        .method = "GET",
                                        .target = "/",
                                        .fields = "Host: h\r\nX-Attempt: a-" + std::to_string(id) + "\r\n",
                                        .remaining_ms = 60'000,
                                        .idempotent = idempotent});
    }

    std::shared_ptr<frame_stream> stream;
    std::vector<reply_message> replies;
    std::map<frame_type, int> frames; ///< Number of received frames by type.
    bool closed = false;
};

reply_kind kind_of(const reply_message& reply)
{
    return static_cast<reply_kind>(reply.kind);
}

} // namespace

/// Guards against calls that run twice, or whose outcome is misreported, after a broken connection between
/// daemons.
class peer_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_server_test);
    CPPUNIT_TEST(call_is_answered_on_a_new_connection);
    CPPUNIT_TEST(finished_call_is_answered_again_without_a_second_run);
    CPPUNIT_TEST(unknown_pending_call_is_reported_as_not_started);
    CPPUNIT_TEST(running_call_of_a_disconnected_daemon_is_not_reported_as_not_started);
    CPPUNIT_TEST(cancel_received_with_the_call_prevents_the_start);
    CPPUNIT_TEST(bytes_after_the_silence_timeout_are_not_read);
    CPPUNIT_TEST(leaving_instance_gets_no_new_work);
    CPPUNIT_TEST(late_response_to_another_request_is_skipped);
    CPPUNIT_TEST(configuration_is_sent_on_request);
    CPPUNIT_TEST(newer_configuration_is_requested);
    CPPUNIT_TEST(members_are_sent_when_they_differ_beyond_the_delay);
    CPPUNIT_TEST(load_is_sent_less_often_to_daemons_of_a_large_fleet_that_send_no_call);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->state.apply({.id = "i", .address = "a", .service = "s", .slots = 10, .sequence = 1});
        this->accept();
    }

    void call_is_answered_on_a_new_connection()
    {
        fake_peer first{this->io, this->address()};
        first.send_hello();
        first.send_call(1, false);
        this->run_until([&] { return this->instance.requests.size() == 1; });
        first.stream->close();
        fake_peer second{this->io, this->address()};
        second.send_hello({1});
        this->run_for(20ms);
        this->instance.answer(0);
        this->run_until([&] { return !second.replies.empty(); });
        CPPUNIT_ASSERT(kind_of(second.replies.front()) == reply_kind::response);
        CPPUNIT_ASSERT_EQUAL(std::string{"whole"}, second.replies.front().body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->instance.requests.size());
    }

    void finished_call_is_answered_again_without_a_second_run()
    {
        fake_peer first{this->io, this->address()};
        first.send_hello();
        first.send_call(1, false);
        this->run_until([&] { return this->instance.requests.size() == 1; });
        this->instance.answer(0);
        this->run_until([&] { return !first.replies.empty(); });
        first.stream->close();
        fake_peer second{this->io, this->address()};
        second.send_hello({1});
        this->run_until([&] { return !second.replies.empty(); });
        CPPUNIT_ASSERT(kind_of(second.replies.front()) == reply_kind::response);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->instance.requests.size());
    }

    void unknown_pending_call_is_reported_as_not_started()
    {
        fake_peer peer{this->io, this->address()};
        peer.send_hello({5});
        this->run_until([&] { return !peer.replies.empty(); });
        CPPUNIT_ASSERT(kind_of(peer.replies.front()) == reply_kind::not_started);
        CPPUNIT_ASSERT_EQUAL(std::string{call_reason::never_received}, peer.replies.front().reason);
    }

    /// A daemon was disconnected for long enough that its calls were cancelled, and now asks for a call that
    /// must not run twice and is still running.
    void running_call_of_a_disconnected_daemon_is_not_reported_as_not_started()
    {
        fake_peer first{this->io, this->address()};
        first.send_hello();
        first.send_call(1, false);
        this->run_until([&] { return this->instance.requests.size() == 1; });
        first.stream->close();
        this->run_for(20ms);
        this->server.tick(core::boot_clock::now() + 10s);
        fake_peer second{this->io, this->address()};
        second.send_hello({1});
        this->run_for(20ms);
        CPPUNIT_ASSERT(second.replies.empty());
        this->instance.answer(0);
        this->run_until([&] { return !second.replies.empty(); });
        CPPUNIT_ASSERT(kind_of(second.replies.front()) == reply_kind::response);
    }

    /// A call and its cancellation were delayed by a partition and arrive in one read; the caller has
    /// disconnected.
    void cancel_received_with_the_call_prevents_the_start()
    {
        fake_peer peer{this->io, this->address()};
        peer.send_hello();
        this->run_for(10ms);
        peer.send_call(1, true);
        peer.stream->send(frame_type::cancel, cancel_message{.id = 1});
        this->run_for(30ms);
        CPPUNIT_ASSERT(this->instance.requests.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->dispatcher.open_calls());
    }

    void bytes_after_the_silence_timeout_are_not_read()
    {
        fake_peer peer{this->io, this->address()};
        peer.send_hello();
        this->run_for(1300ms);
        peer.send_call(1, true);
        this->run_until([&] { return peer.closed; });
        CPPUNIT_ASSERT(this->instance.requests.empty());
    }

    void leaving_instance_gets_no_new_work()
    {
        this->state.deregister("i");
        fake_peer peer{this->io, this->address()};
        peer.send_hello();
        peer.send_call(1, true);
        this->run_until([&] { return !peer.replies.empty(); });
        CPPUNIT_ASSERT(kind_of(peer.replies.front()) == reply_kind::not_started);
        CPPUNIT_ASSERT_EQUAL(std::string{call_reason::instance_leaving}, peer.replies.front().reason);
    }

    void late_response_to_another_request_is_skipped()
    {
        fake_peer peer{this->io, this->address()};
        peer.send_hello();
        peer.send_call(1, true);
        this->run_until([&] { return this->instance.requests.size() == 1; });
        this->instance.requests[0]->respond(
            {.status = 200, .fields = "X-Attempt: other\r\nX-Signature: s\r\n", .body = "foreign"});
        this->run_until([&] { return !peer.replies.empty() || this->elapsed > 300ms; }, 400ms);
        CPPUNIT_ASSERT(peer.replies.empty());
    }

    /// Guards against all 89 other daemons sending the whole document to a daemon with an older version.
    void configuration_is_sent_on_request()
    {
        this->fleet.config_received = [](const std::string&) { return true; };
        this->fleet.offer_config(5, "document");
        fake_peer peer{this->io, this->address()};
        peer.send_hello();
        peer.send_probe(4);
        this->run_until([&] { return peer.frames.contains(frame_type::probe_reply); });
        CPPUNIT_ASSERT(!peer.frames.contains(frame_type::config));
        peer.stream->send(frame_type::config_request, config_request_message{.known_version = 4});
        this->run_until([&] { return peer.frames.contains(frame_type::config); });
        CPPUNIT_ASSERT_EQUAL(1, peer.frames[frame_type::config]);
    }

    void newer_configuration_is_requested()
    {
        fake_peer peer{this->io, this->address()};
        peer.send_hello();
        peer.send_probe(4);
        this->run_until([&] { return peer.frames.contains(frame_type::config_request); });
        CPPUNIT_ASSERT_EQUAL(1, peer.frames[frame_type::config_request]);
    }

    /// Member tables differ briefly while 90 daemons start, and a table has 6 KB. Guards against sending it
    /// for each short difference.
    void members_are_sent_when_they_differ_beyond_the_delay()
    {
        fake_peer peer{this->io, this->address()};
        peer.send_hello();
        for (int probe = 0; probe < 4; ++probe)
        {
            peer.send_probe(0);
            this->run_for(400ms);
        }
        CPPUNIT_ASSERT(!peer.frames.contains(frame_type::members));
        this->run_for(500ms);
        peer.send_probe(0);
        this->run_until([&] { return peer.frames.contains(frame_type::members); }, 1s);
        CPPUNIT_ASSERT_EQUAL(1, peer.frames[frame_type::members]);
    }

    /// Otherwise the messages of a loaded instance grow with the fleet: ten a second to each other daemon.
    void load_is_sent_less_often_to_daemons_of_a_large_fleet_that_send_no_call()
    {
        std::vector<std::unique_ptr<fake_peer>> peers;
        for (std::size_t index = 0; index < large_fleet_size; ++index)
        {
            peers.push_back(std::make_unique<fake_peer>(this->io, this->address()));
            peers.back()->send_hello({}, sender_started_ms, "peer-" + std::to_string(index));
        }
        this->run_until([&] { return peers.back()->frames.contains(frame_type::welcome); });
        fake_peer& caller = *peers.front();
        caller.send_call(1, true);
        this->run_until([&] { return this->instance.requests.size() == 1; });
        constexpr int broadcasts = 4;
        for (int count = 0; count < broadcasts; ++count)
        {
            this->server.broadcast_status(this->dispatcher.status(), false);
        }
        this->run_until([&] { return caller.frames[frame_type::status] == broadcasts; });
        this->run_for(50ms);
        CPPUNIT_ASSERT_EQUAL(broadcasts, caller.frames[frame_type::status]);
        CPPUNIT_ASSERT_EQUAL(1, peers.back()->frames[frame_type::status]);
        this->server.broadcast_status(this->dispatcher.status(), true);
        this->run_until([&] { return peers.back()->frames[frame_type::status] == 2; });
        CPPUNIT_ASSERT_EQUAL(2, peers.back()->frames[frame_type::status]);
    }

private:
    tcp::endpoint address() const { return this->acceptor.local_endpoint(); }

    void accept()
    {
        this->acceptor.async_accept(
            [this](const error_code& error, tcp::socket socket)
            {
                if (!error)
                {
                    this->server.accept(std::move(socket));
                    this->accept();
                }
            });
    }

    template <typename Condition>
    void run_until(Condition met, core::duration limit = 5s)
    {
        const core::time_point begin = core::boot_clock::now();
        for (this->elapsed = {}; !met() && this->elapsed < limit;
             this->elapsed = core::boot_clock::now() - begin)
        {
            this->io.run_one_for(10ms);
        }
    }

    void run_for(core::duration time)
    {
        this->run_until([] { return false; }, time);
    }

    asio::io_context io;
    event_log log{"test"};
    sidecar_metrics metrics;
    fake_instance instance{this->io};
    instance_state state{"a"};
    instance_dispatcher dispatcher{
        this->io,
        {.instance_address = this->instance.acceptor.local_endpoint(), .names = test_names()},
        this->state,
        this->log,
        this->metrics};
    fleet_state fleet{{.daemon_id = "self", .started_ms = own_started_ms}};
    peer_server server{this->dispatcher,
                       this->fleet,
                       this->log,
                       {.ratios = [] { return std::span<const call_ratio>{}; },
                        .on_probe = [](const member_record&, const probe_message&) {},
                        .on_token_request = [](const token_request_message& request)
                        { return token_grant_message{.id = request.id}; }}};
    tcp::acceptor acceptor{this->io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    core::duration elapsed{};
};
CPPUNIT_TEST_SUITE_REGISTRATION(peer_server_test);

} // namespace laburnumreach::sidecar
