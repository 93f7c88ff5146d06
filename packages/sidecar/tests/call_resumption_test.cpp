#include "laburnumreach/sidecar/call_reasons.hpp"
#include "peer_server_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

/// Guards against orders that run twice: a daemon may state that a call never started only if it never will.
/// A disconnected daemon asks for its calls at each point at which the receiver may have let go of them.
class call_resumption_test : public peer_server_fixture
{
    CPPUNIT_TEST_SUITE(call_resumption_test);
    CPPUNIT_TEST(reply_that_was_on_its_way_when_the_call_was_abandoned_is_sent_again);
    CPPUNIT_TEST(broken_run_that_ended_when_the_call_was_abandoned_is_reported_as_failed);
    CPPUNIT_TEST(refusal_that_was_on_its_way_when_the_call_was_abandoned_is_sent_again);
    CPPUNIT_TEST(aborted_call_is_not_reported_as_not_started);
    CPPUNIT_TEST(queued_call_that_was_abandoned_is_reported_as_not_started);
    CPPUNIT_TEST(call_whose_reply_expired_is_not_reported_as_not_started);
    CPPUNIT_TEST(call_lost_on_the_way_is_reported_as_not_started);
    CPPUNIT_TEST(call_that_ran_through_several_reconnects_runs_once);
    CPPUNIT_TEST(calls_of_a_restarted_daemon_are_not_mistaken_for_those_before);
    CPPUNIT_TEST(nothing_is_stated_about_calls_to_an_earlier_process);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The run ends in the same turn of the event loop as the check for daemons that do not reconnect.
    void reply_that_was_on_its_way_when_the_call_was_abandoned_is_sent_again()
    {
        this->disconnect_during_call(false);
        this->instance.answer(0);
        this->run_until_run_ends();
        this->abandon_calls();
        const reply_message reply = this->reply_after_reconnect();
        CPPUNIT_ASSERT(kind_of(reply) == reply_kind::response);
        CPPUNIT_ASSERT_EQUAL(std::string{"whole"}, reply.body);
    }

    void broken_run_that_ended_when_the_call_was_abandoned_is_reported_as_failed()
    {
        this->disconnect_during_call(true);
        this->instance.requests.at(0)->respond({.status = 200, .fields = {}, .body = "no signature"});
        this->run_until_run_ends();
        this->abandon_calls();
        CPPUNIT_ASSERT(kind_of(this->reply_after_reconnect()) == reply_kind::failed);
    }

    void refusal_that_was_on_its_way_when_the_call_was_abandoned_is_sent_again()
    {
        this->disconnect_during_call(false);
        this->instance.requests.at(0)->respond(
            {.status = 503, .fields = "X-Attempt: a-1\r\nX-Not-Executed: 1\r\n", .body = {}});
        this->run_until_run_ends();
        this->abandon_calls();
        CPPUNIT_ASSERT(kind_of(this->reply_after_reconnect()) == reply_kind::rejected);
    }

    void aborted_call_is_not_reported_as_not_started()
    {
        this->disconnect_during_call(true);
        this->abandon_calls();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->dispatcher.open_calls());
        CPPUNIT_ASSERT(kind_of(this->reply_after_reconnect()) == reply_kind::failed);
    }

    void queued_call_that_was_abandoned_is_reported_as_not_started()
    {
        this->state.apply({.id = "i", .address = "a", .service = "s", .slots = 1, .sequence = 2});
        fake_peer peer{this->io, this->address()};
        peer.send_hello();
        peer.send_call(1, false);
        peer.send_call(2, false);
        this->run_until([&] { return this->dispatcher.open_calls() == 2; });
        this->run_until([&] { return this->instance.requests.size() == 1; });
        this->disconnect(peer);
        this->abandon_calls();
        CPPUNIT_ASSERT(kind_of(this->reply_after_reconnect(2)) == reply_kind::not_started);
        this->instance.answer(0);
        this->run_for(50ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->instance.requests.size());
    }

    /// The sender was suspended while it connected, for longer than replies are kept.
    void call_whose_reply_expired_is_not_reported_as_not_started()
    {
        this->disconnect_during_call(false);
        this->instance.answer(0);
        this->run_until([this] { return this->dispatcher.open_calls() == 0; });
        this->server.tick(core::boot_clock::now() + 1h);
        const reply_message reply = this->reply_after_reconnect();
        CPPUNIT_ASSERT(kind_of(reply) == reply_kind::failed);
        CPPUNIT_ASSERT_EQUAL(std::string{call_reason::outcome_unknown}, reply.reason);
    }

    void call_lost_on_the_way_is_reported_as_not_started()
    {
        this->disconnect_during_call(false);
        fake_peer second{this->io, this->address()};
        second.send_hello({1, 2});
        this->run_until([&] { return !second.replies.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second.replies.front().id);
        CPPUNIT_ASSERT_EQUAL(std::string{call_reason::never_received}, second.replies.front().reason);
        this->instance.answer(0);
        this->run_until([&] { return second.replies.size() == 2; });
        CPPUNIT_ASSERT(kind_of(second.replies.back()) == reply_kind::response);
    }

    void call_that_ran_through_several_reconnects_runs_once()
    {
        this->disconnect_during_call(false);
        for (int count = 0; count < 3; ++count)
        {
            fake_peer again{this->io, this->address()};
            again.send_hello({1});
            this->run_until([&] { return again.frames.contains(frame_type::welcome); });
            this->disconnect(again);
            this->abandon_calls();
        }
        this->instance.answer(0);
        this->run_until_run_ends();
        this->abandon_calls();
        CPPUNIT_ASSERT(kind_of(this->reply_after_reconnect()) == reply_kind::response);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->instance.requests.size());
    }

    /// Its ids start anew.
    void calls_of_a_restarted_daemon_are_not_mistaken_for_those_before()
    {
        this->disconnect_during_call(false);
        fake_peer restarted{this->io, this->address()};
        restarted.send_hello({}, sender_started_ms + 1);
        this->run_until([&] { return restarted.frames.contains(frame_type::welcome); });
        this->disconnect(restarted);
        fake_peer again{this->io, this->address()};
        again.send_hello({1}, sender_started_ms + 1);
        this->run_until([&] { return !again.replies.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string{call_reason::never_received}, again.replies.front().reason);
        this->instance.answer(0);
        this->run_for(50ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.replies.size());
    }

    /// They may have run there.
    void nothing_is_stated_about_calls_to_an_earlier_process()
    {
        fake_peer peer{this->io, this->address()};
        peer.send_hello({1}, sender_started_ms, "peer", own_started_ms - 1);
        this->run_until([&] { return peer.frames.contains(frame_type::welcome); });
        this->run_for(50ms);
        CPPUNIT_ASSERT(peer.replies.empty());
    }

private:
    /// Sends call 1 and disconnects while the instance runs it.
    void disconnect_during_call(bool idempotent)
    {
        fake_peer peer{this->io, this->address()};
        peer.send_hello();
        peer.send_call(1, idempotent);
        this->run_until([&] { return this->instance.requests.size() == 1; });
        this->disconnect(peer);
    }

    /// Closes a connection and waits until the server has seen it.
    void disconnect(fake_peer& peer)
    {
        peer.stream->close();
        this->run_for(20ms);
    }

    /// Runs single handlers until the run has ended, so that its reply is on its way but not yet delivered.
    void run_until_run_ends()
    {
        const core::time_point limit = core::boot_clock::now() + 5s;
        while (this->dispatcher.status().running > 0 && core::boot_clock::now() < limit)
        {
            this->io.poll_one();
        }
        CPPUNIT_ASSERT_EQUAL(0U, this->dispatcher.status().running);
    }

    /// Lets the check for daemons that do not reconnect run when the time for it has come.
    void abandon_calls()
    {
        this->time_ahead += 10s;
        this->server.tick(core::boot_clock::now() + this->time_ahead);
    }

    reply_message reply_after_reconnect(std::uint64_t call_id = 1)
    {
        fake_peer again{this->io, this->address()};
        again.send_hello({call_id});
        this->run_until([&] { return !again.replies.empty(); });
        CPPUNIT_ASSERT(!again.replies.empty());
        CPPUNIT_ASSERT_EQUAL(call_id, again.replies.front().id);
        return again.replies.front();
    }

    core::duration time_ahead{};
};
CPPUNIT_TEST_SUITE_REGISTRATION(call_resumption_test);

} // namespace laburnumreach::sidecar
