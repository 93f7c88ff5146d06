#include "laburnumreach/sidecar/instance_dispatcher.hpp"
#include "scripted_instance.hpp"
#include "test_names.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against an instance whose endless responses exhaust the memory of the daemon, and whose cut
/// responses reach callers as whole ones.
class faulty_instance_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(faulty_instance_test);
    CPPUNIT_TEST(endless_heads_of_many_calls_take_little_memory);
    CPPUNIT_TEST(endless_informational_responses_of_many_calls_take_little_memory);
    CPPUNIT_TEST(endless_bodies_of_many_calls_take_little_memory);
    CPPUNIT_TEST(endless_bodies_without_a_length_take_little_memory);
    CPPUNIT_TEST(response_cut_at_any_byte_is_no_response);
    CPPUNIT_TEST(chunked_response_cut_at_any_byte_is_no_response);
    CPPUNIT_TEST(response_without_a_length_needs_its_head_and_an_orderly_end);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->state.apply({.id = "i", .address = "a", .service = "s", .slots = 100, .sequence = 1});
    }

    void endless_heads_of_many_calls_take_little_memory()
    {
        this->assert_bounded_memory("X-Field: " + std::string(1000, 'a') + "\r\n", "HTTP/1.1 200 OK\r\n");
    }

    void endless_informational_responses_of_many_calls_take_little_memory()
    {
        this->assert_bounded_memory("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    }

    void endless_bodies_of_many_calls_take_little_memory()
    {
        this->assert_bounded_memory("4000\r\n" + std::string(0x4000, 'a') + "\r\n",
                                    own_head + "Transfer-Encoding: chunked\r\n\r\n");
    }

    void endless_bodies_without_a_length_take_little_memory()
    {
        this->assert_bounded_memory(std::string(0x4000, 'a'), own_head + "\r\n");
    }

    void response_cut_at_any_byte_is_no_response()
    {
        this->assert_cut_is_no_response(own_head + "Content-Length: 5\r\n\r\nwhole");
    }

    void chunked_response_cut_at_any_byte_is_no_response()
    {
        this->assert_cut_is_no_response(own_head +
                                        "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n");
    }

    void response_without_a_length_needs_its_head_and_an_orderly_end()
    {
        const std::string head = own_head + "\r\n";
        for (std::size_t size = 0; size < head.size(); ++size)
        {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(size),
                                   this->outcome_of(head.substr(0, size)) == reply_kind::failed);
        }
        CPPUNIT_ASSERT(this->outcome_of(head + "whole") == reply_kind::response);
        CPPUNIT_ASSERT(this->outcome_of(head + "who", true) == reply_kind::failed);
    }

private:
    static inline const std::string own_head = "HTTP/1.1 200 OK\r\nX-Attempt: a-1\r\nX-Signature: s\r\n";

    static call_message make_call(std::chrono::milliseconds timeout)
    {
        return {.id = 1,
                .service = "s",
                .route = "r",
                .attempt_id = "a-1",
                .method = "GET",
                .target = "/",
                .fields = "Host: h\r\nX-Attempt: a-1\r\n",
                .remaining_ms = static_cast<std::uint32_t>(timeout.count())};
    }

    /// Runs many calls to an instance that repeats bytes without end, measuring the memory as a daemon does.
    void assert_bounded_memory(const std::string& repeated, const std::string& begin = {})
    {
        constexpr std::size_t calls = 40;
        constexpr std::size_t memory_bytes = 8 * 1024 * 1024;
        // A head or the begin of a body, and a block that was read, for each call.
        constexpr std::size_t bytes_for_each_call = 256 * 1024;
        // The response that is read on, up to the size at which it is given up.
        constexpr std::size_t preferred_bytes = 17 * 1024 * 1024;
        this->server.on_request = [&](scripted_instance::connection& peer, std::size_t)
        {
            if (!begin.empty())
            {
                peer.send(begin);
            }
            peer.send_without_end(repeated);
        };
        std::size_t failed = 0;
        for (std::size_t count = 0; count < calls; ++count)
        {
            this->dispatcher.submit(make_call(1500ms), [&](const reply_message& reply)
                                    { failed += is(reply, reply_kind::failed) ? 1 : 0; });
        }
        std::size_t most_held = 0;
        const core::time_point limit = core::boot_clock::now() + 20s;
        while (failed < calls && core::boot_clock::now() < limit)
        {
            const std::size_t held = this->dispatcher.held_bytes();
            most_held = std::max(most_held, held);
            this->dispatcher.allow_reading(memory_bytes - std::min(held, memory_bytes));
            this->io.run_one_for(10ms);
            this->dispatcher.tick(core::boot_clock::now());
        }
        CPPUNIT_ASSERT_EQUAL(calls, failed);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most_held),
                               most_held < memory_bytes + calls * bytes_for_each_call + preferred_bytes);
        // The slots are free again, and other calls are served.
        CPPUNIT_ASSERT(this->outcome_of(own_head + "Content-Length: 5\r\n\r\nwhole") == reply_kind::response);
    }

    void assert_cut_is_no_response(const std::string& whole)
    {
        for (std::size_t size = 0; size < whole.size(); ++size)
        {
            for (const bool with_reset : {false, true})
            {
                CPPUNIT_ASSERT_MESSAGE(std::to_string(size),
                                       this->outcome_of(whole.substr(0, size), with_reset) ==
                                           reply_kind::failed);
            }
        }
        CPPUNIT_ASSERT(this->outcome_of(whole) == reply_kind::response);
    }

    static bool is(const reply_message& reply, reply_kind kind)
    {
        return static_cast<reply_kind>(reply.kind) == kind;
    }

    /// Returns the outcome of a call to an instance that sends these bytes and closes the connection.
    reply_kind outcome_of(const std::string& bytes, bool with_reset = false)
    {
        this->server.on_request = [&](scripted_instance::connection& peer, std::size_t)
        { peer.send_and_close(bytes, with_reset); };
        std::optional<reply_kind> found;
        this->dispatcher.submit(make_call(60s), [&](const reply_message& reply)
                                { found = static_cast<reply_kind>(reply.kind); });
        const core::time_point limit = core::boot_clock::now() + 10s;
        while (!found && core::boot_clock::now() < limit)
        {
            this->io.run_one_for(10ms);
            this->dispatcher.tick(core::boot_clock::now());
        }
        CPPUNIT_ASSERT(found.has_value());
        return *found;
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
CPPUNIT_TEST_SUITE_REGISTRATION(faulty_instance_test);

} // namespace laburnumreach::sidecar
