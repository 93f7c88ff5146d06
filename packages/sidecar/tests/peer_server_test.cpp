#include "laburnumreach/sidecar/call_reasons.hpp"
#include "peer_server_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

/// Guards against calls that run twice, or whose outcome is misreported, after a broken connection between
/// daemons.
class peer_server_test : public peer_server_fixture
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
        this->fleet.config_received = [](const std::string&, const config_origin&) { return true; };
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
};
CPPUNIT_TEST_SUITE_REGISTRATION(peer_server_test);

} // namespace laburnumreach::sidecar
