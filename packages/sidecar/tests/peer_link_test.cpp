#include "fake_receiver.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against a sender that takes a call for one that never started, or asks for one that it has given
/// up, when connections break or the other daemon restarts.
class peer_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_link_test);
    CPPUNIT_TEST(open_calls_are_named_after_a_reconnect);
    CPPUNIT_TEST(cancelled_calls_are_not_named_after_a_reconnect);
    CPPUNIT_TEST(call_cancelled_during_the_handshake_is_cancelled_at_the_other_daemon);
    CPPUNIT_TEST(calls_to_a_restarted_daemon_may_have_run);
    CPPUNIT_TEST(calls_to_a_daemon_whose_address_was_reassigned_may_have_run);
    CPPUNIT_TEST(calls_to_a_process_that_ended_may_have_run);
    CPPUNIT_TEST(late_reply_to_a_cancelled_call_is_dropped);
    CPPUNIT_TEST(reply_that_comes_twice_counts_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->link->start();
        this->welcome();
    }

    void tearDown() override { this->link->close(); }

    void open_calls_are_named_after_a_reconnect()
    {
        this->send_calls({4, 6});
        this->reconnect();
        CPPUNIT_ASSERT(
            (sorted(this->receiver.hellos.back().pending_calls) == std::vector<std::uint64_t>{4, 6}));
        CPPUNIT_ASSERT_EQUAL(receiver_started_ms, this->receiver.hellos.back().receiver_started_ms);
        this->reply(6, reply_kind::not_started);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, this->replies.back().id);
        this->reconnect();
        CPPUNIT_ASSERT((this->receiver.hellos.back().pending_calls == std::vector<std::uint64_t>{4}));
        CPPUNIT_ASSERT(this->lost.empty());
    }

    void cancelled_calls_are_not_named_after_a_reconnect()
    {
        this->send_calls({1, 2});
        this->link->send_cancel(1);
        this->reconnect();
        CPPUNIT_ASSERT((this->receiver.hellos.back().pending_calls == std::vector<std::uint64_t>{2}));
    }

    void call_cancelled_during_the_handshake_is_cancelled_at_the_other_daemon()
    {
        this->send_calls({1});
        this->begin_reconnect();
        CPPUNIT_ASSERT((this->receiver.hellos.back().pending_calls == std::vector<std::uint64_t>{1}));
        this->link->send_cancel(1);
        this->run_until([this] { return !this->receiver.cancelled.empty(); });
        CPPUNIT_ASSERT((this->receiver.cancelled == std::vector<std::uint64_t>{1}));
    }

    void calls_to_a_restarted_daemon_may_have_run()
    {
        this->send_calls({1});
        this->begin_reconnect();
        this->welcome(receiver_started_ms + 1);
        CPPUNIT_ASSERT((this->lost == std::vector<std::uint64_t>{1}));
        CPPUNIT_ASSERT(!this->link->has_open_calls());
    }

    void calls_to_a_daemon_whose_address_was_reassigned_may_have_run()
    {
        this->send_calls({1});
        this->begin_reconnect();
        this->receiver.send_welcome("third", 1);
        this->run_until([this] { return !this->lost.empty(); });
        CPPUNIT_ASSERT((this->lost == std::vector<std::uint64_t>{1}));
    }

    void calls_to_a_process_that_ended_may_have_run()
    {
        this->send_calls({1});
        this->receiver.acceptor.close();
        this->receiver.stream->close();
        this->run_until([this] { return !this->lost.empty(); });
        CPPUNIT_ASSERT((this->lost == std::vector<std::uint64_t>{1}));
        CPPUNIT_ASSERT(this->replies.empty());
    }

    void late_reply_to_a_cancelled_call_is_dropped()
    {
        this->send_calls({1, 2});
        this->link->send_cancel(1);
        this->receiver.send_reply(1, reply_kind::not_started);
        this->reply(2, reply_kind::response);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->replies.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->replies.front().id);
    }

    void reply_that_comes_twice_counts_once()
    {
        this->send_calls({1, 2});
        this->reply(1, reply_kind::response);
        this->receiver.send_reply(1, reply_kind::not_started);
        this->reply(2, reply_kind::response);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->replies.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->replies.back().id);
    }

private:
    static constexpr std::uint64_t receiver_started_ms = 5;

    static std::vector<std::uint64_t> sorted(std::vector<std::uint64_t> ids)
    {
        std::sort(ids.begin(), ids.end());
        return ids;
    }

    void welcome(std::uint64_t started_ms = receiver_started_ms)
    {
        this->run_until([this]
                        { return this->receiver.stream != nullptr && !this->receiver.hellos.empty(); });
        this->receiver.send_welcome("other", started_ms);
        this->run_until([this] { return this->link->usable(); });
    }

    void send_calls(const std::vector<std::uint64_t>& ids)
    {
        for (const std::uint64_t id : ids)
        {
            this->link->send_call({.id = id, .service = "s", .remaining_ms = 60'000});
        }
        this->run_until([&] { return this->receiver.calls.size() == ids.size(); });
    }

    /// Breaks the connection and waits for the hello on the next one.
    void begin_reconnect()
    {
        const std::size_t known = this->receiver.hellos.size();
        std::exchange(this->receiver.stream, nullptr)->close();
        this->run_until([&] { return this->receiver.hellos.size() > known; });
    }

    void reconnect()
    {
        this->begin_reconnect();
        this->welcome();
    }

    void reply(std::uint64_t id, reply_kind kind)
    {
        const std::size_t known = this->replies.size();
        this->receiver.send_reply(id, kind);
        this->run_until([&] { return this->replies.size() > known; });
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        const core::time_point limit = core::boot_clock::now() + 10s;
        while (!condition() && core::boot_clock::now() < limit)
        {
            this->io.run_one_for(5ms);
            this->link->tick(core::boot_clock::now());
        }
        CPPUNIT_ASSERT(condition());
    }

    std::shared_ptr<const peer_link_callbacks> make_callbacks()
    {
        const auto callbacks = std::make_shared<peer_link_callbacks>(make_idle_callbacks());
        callbacks->on_reply = [this](reply_message message) { this->replies.push_back(std::move(message)); };
        callbacks->on_call_lost = [this](std::uint64_t id) { this->lost.push_back(id); };
        return callbacks;
    }

    asio::io_context io{1};
    /// Keeps the event loop from stopping while nothing is connected.
    asio::executor_work_guard<asio::io_context::executor_type> work{this->io.get_executor()};
    event_log log{"self"};
    fleet_state fleet{{.daemon_id = "self", .started_ms = 3}};
    fake_receiver receiver{this->io, "other"};
    std::vector<reply_message> replies;
    std::vector<std::uint64_t> lost;
    std::shared_ptr<peer_link> link = std::make_shared<peer_link>(
        this->io, this->receiver.record(), this->fleet, this->make_callbacks(), this->log);
};
CPPUNIT_TEST_SUITE_REGISTRATION(peer_link_test);

} // namespace laburnumreach::sidecar
