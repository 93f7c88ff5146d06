#include "laburnumreach/sidecar/instance_dispatcher.hpp"

#include "laburnumreach/sidecar/call_reasons.hpp"
#include "scripted_instance.hpp"
#include "test_names.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against verdicts on calls that an instance in trouble makes untrue, and against slots that are lost
/// to such an instance.
class instance_dispatcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_dispatcher_test);
    CPPUNIT_TEST(refusal_with_the_id_of_the_call_is_a_rejection);
    CPPUNIT_TEST(earlier_refusal_with_its_id_is_skipped);
    CPPUNIT_TEST(refusal_without_an_id_on_a_kept_connection_proves_nothing);
    CPPUNIT_TEST(refusal_without_an_id_on_a_new_connection_is_a_rejection);
    CPPUNIT_TEST(earlier_refusal_that_arrives_between_two_calls_is_not_taken_for_the_second);
    CPPUNIT_TEST(bytes_without_end_give_the_slot_back_at_the_deadline);
    CPPUNIT_TEST(closed_connections_are_not_kept);
    CPPUNIT_TEST(cancellation_tells_what_becomes_of_the_call);
    CPPUNIT_TEST(deregistration_after_draining_allows_no_further_calls);
    CPPUNIT_TEST(instance_that_was_never_given_work_gets_none_when_it_leaves);
    CPPUNIT_TEST(call_that_would_outlast_a_stop_is_not_started);
    CPPUNIT_TEST(call_that_would_outlast_a_stop_is_not_started_after_a_single_run);
    CPPUNIT_TEST(instance_is_given_no_more_time_than_the_daemon_has);
    CPPUNIT_TEST(call_that_the_end_of_the_daemon_cut_short_may_be_repeated);
    CPPUNIT_TEST(failure_of_a_call_that_the_end_of_the_daemon_cut_short_is_passed_on);
    CPPUNIT_TEST(large_responses_wait_while_memory_is_short_the_least_urgent_longest);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->state.apply({.id = "i", .address = "a", .service = "s", .slots = 1, .sequence = 1});
    }

    void refusal_with_the_id_of_the_call_is_a_rejection()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send(refusal("X-Attempt: a-1\r\n")); };
        CPPUNIT_ASSERT(this->outcome_of("a-1") == reply_kind::rejected);
    }

    /// The second request runs while the first one's refusal is repeated with its id.
    void earlier_refusal_with_its_id_is_skipped()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t number) {
            peer.send(number == 1 ? refusal("X-Attempt: a-1\r\n")
                                  : refusal("X-Attempt: a-1\r\n") + answer("a-2"));
        };
        CPPUNIT_ASSERT(this->outcome_of("a-1") == reply_kind::rejected);
        CPPUNIT_ASSERT(this->outcome_of("a-2") == reply_kind::response);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server.connections.size());
    }

    void refusal_without_an_id_on_a_kept_connection_proves_nothing()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t number)
        { peer.send(number == 1 ? answer("a-1") : refusal("")); };
        CPPUNIT_ASSERT(this->outcome_of("a-1") == reply_kind::response);
        CPPUNIT_ASSERT(this->outcome_of("a-2") == reply_kind::failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server.connections.size());
    }

    void refusal_without_an_id_on_a_new_connection_is_a_rejection()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send(refusal("")); };
        CPPUNIT_ASSERT(this->outcome_of("a-1") == reply_kind::rejected);
    }

    void earlier_refusal_that_arrives_between_two_calls_is_not_taken_for_the_second()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t number)
        { peer.send(number == 1 ? refusal("X-Attempt: a-1\r\n") : answer("a-2")); };
        CPPUNIT_ASSERT(this->outcome_of("a-1") == reply_kind::rejected);
        this->server.connections.front()->send(refusal(""));
        CPPUNIT_ASSERT(this->outcome_of("a-2") == reply_kind::response);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->server.connections.size());
    }

    void bytes_without_end_give_the_slot_back_at_the_deadline()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t number)
        {
            if (number == 1)
            {
                // Slow enough that no bound in bytes is reached before the deadline.
                peer.send_without_end("HTTP/1.1 103 Early Hints\r\n\r\n", 5ms);
                return;
            }
            peer.send(answer("a-2"));
        };
        CPPUNIT_ASSERT(this->outcome_of("a-1", 100ms) == reply_kind::failed);
        CPPUNIT_ASSERT_EQUAL(0U, this->dispatcher.status().running);
        CPPUNIT_ASSERT(this->outcome_of("a-2") == reply_kind::response);
    }

    void closed_connections_are_not_kept()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t number)
        {
            peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\nX-Attempt: a-" + std::to_string(number) +
                      "\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n");
        };
        CPPUNIT_ASSERT(this->outcome_of("a-1") == reply_kind::response);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->dispatcher.idle_connection_count());
    }

    /// A wrong statement here makes a call that has run look as if it never started.
    void cancellation_tells_what_becomes_of_the_call()
    {
        int replies = 0;
        const auto count_reply = [&](const reply_message&) { ++replies; };
        const auto running = this->dispatcher.submit(make_call("a-1", 60s), count_reply);
        const auto queued = this->dispatcher.submit(make_call("a-2", 60s), count_reply);
        while (this->server.requests.empty())
        {
            this->io.run_one_for(10ms);
        }
        CPPUNIT_ASSERT(this->dispatcher.cancel(queued) == cancel_result::never_starts);
        CPPUNIT_ASSERT(this->dispatcher.cancel(running) == cancel_result::continues);
        this->server.connections.front()->send(answer("a-1"));
        while (this->dispatcher.status().running > 0)
        {
            this->io.run_one_for(10ms);
        }
        CPPUNIT_ASSERT_EQUAL(0, replies);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->dispatcher.open_calls());
        CPPUNIT_ASSERT(this->dispatcher.cancel(running) == cancel_result::continues);
        this->io.poll();
        CPPUNIT_ASSERT_EQUAL(1, replies);
        CPPUNIT_ASSERT(this->dispatcher.cancel(running) == cancel_result::unknown);
        call_message repeatable = make_call("a-3", 60s);
        repeatable.idempotent = true;
        const auto aborted = this->dispatcher.submit(std::move(repeatable), count_reply);
        while (this->server.requests.size() < 2)
        {
            this->io.run_one_for(10ms);
        }
        CPPUNIT_ASSERT(this->dispatcher.cancel(aborted) == cancel_result::aborted);
        this->io.poll();
        CPPUNIT_ASSERT_EQUAL(1, replies);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->dispatcher.open_calls());
    }

    void deregistration_after_draining_allows_no_further_calls()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send(answer("a-1")); };
        this->dispatcher.set_drain_limit(50ms);
        this->dispatcher.on_instance_changed();
        this->state.apply(
            {.id = "i", .address = "a", .service = "s", .slots = 1, .draining = true, .sequence = 2});
        this->dispatcher.on_instance_changed();
        CPPUNIT_ASSERT(this->outcome_of("a-1") == reply_kind::response);
        this->io.run_for(60ms);
        this->state.deregister("i");
        this->dispatcher.on_instance_changed();
        CPPUNIT_ASSERT(this->outcome_of("a-1") == reply_kind::not_started);
    }

    /// An earlier process of the daemon may have acknowledged the departure long ago.
    void instance_that_was_never_given_work_gets_none_when_it_leaves()
    {
        instance_state restarted{{.address = "a", .history = instance_history::partial}};
        instance_dispatcher other{this->io,
                                  {.instance_address = this->server.address(), .names = test_names()},
                                  restarted,
                                  this->log,
                                  this->metrics};
        restarted.apply(
            {.id = "i", .address = "a", .service = "s", .slots = 1, .draining = true, .sequence = 2});
        other.on_instance_changed();
        std::optional<reply_message> found;
        other.submit(make_call("a-1", 60s), [&](reply_message reply) { found = std::move(reply); });
        this->io.run_for(50ms);
        CPPUNIT_ASSERT(found && static_cast<reply_kind>(found->kind) == reply_kind::not_started);
        CPPUNIT_ASSERT(this->server.requests.empty());
    }

    /// A call from another daemon that was queued here started shortly before the end and was cut off.
    void call_that_would_outlast_a_stop_is_not_started()
    {
        constexpr std::size_t runs = 20;
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t number)
        {
            const auto timer = std::make_shared<asio::steady_timer>(peer.executor(), 100ms);
            timer->async_wait([timer, answered = peer.shared_from_this(), number](const error_code&)
                              { answered->send(answer("a-" + std::to_string(number))); });
        };
        for (std::size_t number = 1; number <= runs; ++number)
        {
            CPPUNIT_ASSERT(this->outcome_of("a-" + std::to_string(number)) == reply_kind::response);
        }
        this->dispatcher.set_end(core::boot_clock::now() + 30ms);
        CPPUNIT_ASSERT(this->outcome_of("a-21") == reply_kind::not_started);
        CPPUNIT_ASSERT_EQUAL(runs, this->server.requests.size());
    }

    /// The mean run time starts at zero, so that after one run of 100 ms a stop expected the next one to take
    /// 5 ms.
    void call_that_would_outlast_a_stop_is_not_started_after_a_single_run()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        {
            const auto timer = std::make_shared<asio::steady_timer>(peer.executor(), 100ms);
            timer->async_wait([timer, answered = peer.shared_from_this()](const error_code&)
                              { answered->send(answer("a-1")); });
        };
        CPPUNIT_ASSERT(this->outcome_of("a-1") == reply_kind::response);
        this->dispatcher.set_end(core::boot_clock::now() + 180ms);
        CPPUNIT_ASSERT(this->outcome_of("a-2") == reply_kind::not_started);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server.requests.size());
    }

    /// A run that takes longer than expected was cut off by the end of the daemon, while the instance went
    /// on.
    void instance_is_given_no_more_time_than_the_daemon_has()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send(answer("a-1")); };
        this->dispatcher.set_end(core::boot_clock::now() + 2s);
        CPPUNIT_ASSERT(this->outcome_of("a-1", 60s) == reply_kind::response);
        const std::string& head = this->server.requests.front();
        const int given_ms = std::stoi(head.substr(head.find("X-Deadline: ") + 12));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(given_ms), given_ms > 0 && given_ms < 2000);
    }

    /// The entry of the call lives on, and may send it to another instance.
    void call_that_the_end_of_the_daemon_cut_short_may_be_repeated()
    {
        CPPUNIT_ASSERT(this->outcome_when_cut_short(true) == reply_kind::failed);
    }

    void failure_of_a_call_that_the_end_of_the_daemon_cut_short_is_passed_on()
    {
        CPPUNIT_ASSERT(this->outcome_when_cut_short(false) == reply_kind::response);
    }

    void large_responses_wait_while_memory_is_short_the_least_urgent_longest()
    {
        constexpr std::size_t body_bytes = 8 * 1024 * 1024;
        constexpr std::size_t memory_bytes = 1024 * 1024;
        this->state.apply({.id = "i", .address = "a", .service = "s", .slots = 4, .sequence = 2});
        this->server.on_request = [&](scripted_instance::connection& peer, std::size_t number)
        {
            const std::string& head = this->server.requests.at(number - 1);
            const std::string id = head.substr(head.find("X-Attempt: ") + 11, 3);
            peer.send("HTTP/1.1 200 OK\r\nX-Attempt: " + id + "\r\nX-Signature: s\r\nContent-Length: " +
                      std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x'));
        };
        std::vector<std::int32_t> completed;
        for (const std::int32_t priority : {2, 1, 3})
        {
            call_message call = make_call("a-" + std::to_string(priority), 60s);
            call.priority = priority;
            this->dispatcher.submit(std::move(call),
                                    [&completed, priority, body_bytes](const reply_message& reply)
                                    {
                                        CPPUNIT_ASSERT_EQUAL(body_bytes, reply.body.size());
                                        completed.push_back(priority);
                                    });
        }
        std::size_t most_held = 0;
        const core::time_point limit = core::boot_clock::now() + 30s;
        while (completed.size() < 3 && core::boot_clock::now() < limit)
        {
            const std::size_t held = this->dispatcher.held_bytes();
            most_held = std::max(most_held, held);
            this->dispatcher.allow_reading(memory_bytes - std::min(held, memory_bytes));
            this->io.run_one_for(10ms);
            this->dispatcher.tick(core::boot_clock::now());
        }
        CPPUNIT_ASSERT((completed == std::vector<std::int32_t>{1, 2, 3}));
        // The response that is read on, the limit, and the first blocks of the others.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most_held), most_held < body_bytes + 2 * memory_bytes);
    }

private:
    /// Ends the daemon while the instance runs a call, which the instance then ends with 504.
    reply_kind outcome_when_cut_short(bool idempotent)
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        {
            const auto timer = std::make_shared<asio::steady_timer>(peer.executor(), 200ms);
            timer->async_wait(
                [timer, ended = peer.shared_from_this()](const error_code&)
                {
                    ended->send("HTTP/1.1 504 Gateway Timeout\r\nX-Attempt: a-1\r\nX-Signature: s\r\n"
                                "Content-Length: 0\r\n\r\n");
                });
        };
        this->dispatcher.set_end(core::boot_clock::now() + 250ms);
        call_message call = make_call("a-1", 60s);
        call.idempotent = idempotent;
        std::optional<reply_message> reply;
        this->dispatcher.submit(std::move(call),
                                [&](reply_message received) { reply = std::move(received); });
        while (!reply)
        {
            this->io.run_one_for(10ms);
        }
        return static_cast<reply_kind>(reply->kind);
    }

    static call_message make_call(const std::string& attempt_id, std::chrono::milliseconds timeout)
    {
        return {.id = 1,
                .service = "s",
                .route = "r",
                .attempt_id = attempt_id,
                .method = "GET",
                .target = "/",
                .fields = "Host: h\r\nX-Attempt: " + attempt_id + "\r\n",
                .remaining_ms = static_cast<std::uint32_t>(timeout.count())};
    }

    static std::string refusal(const std::string& fields)
    {
        return "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + fields + "Content-Length: 0\r\n\r\n";
    }

    static std::string answer(const std::string& attempt_id)
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt: " + attempt_id +
               "\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nwhole";
    }

    reply_kind outcome_of(const std::string& attempt_id, std::chrono::milliseconds timeout = 60s)
    {
        std::optional<reply_message> found;
        this->dispatcher.submit(make_call(attempt_id, timeout),
                                [&](reply_message reply) { found = std::move(reply); });
        const core::time_point limit = core::boot_clock::now() + 10s;
        while (!found && core::boot_clock::now() < limit)
        {
            this->io.run_one_for(10ms);
            this->dispatcher.tick(core::boot_clock::now());
        }
        CPPUNIT_ASSERT(found.has_value());
        return static_cast<reply_kind>(found->kind);
    }

    asio::io_context io{1};
    scripted_instance server{this->io};
    instance_state state{"a"};
    event_log log{"d"};
    sidecar_metrics metrics;
    instance_dispatcher dispatcher{this->io,
                                   {.instance_address = this->server.address(), .names = test_names()},
                                   this->state,
                                   this->log,
                                   this->metrics};
};
CPPUNIT_TEST_SUITE_REGISTRATION(instance_dispatcher_test);

} // namespace laburnumreach::sidecar
