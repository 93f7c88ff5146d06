#include "laburnumreach/http/client_pool.hpp"

#include "scripted_peer.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <vector>

namespace laburnumreach::http
{

/// Guards against accepting an incomplete response or one that belongs to another request, and against
/// reusing a connection in an unknown state.
class bad_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bad_response_test);
    CPPUNIT_TEST(invalid_responses_are_reported_and_their_connections_closed);
    CPPUNIT_TEST(bytes_after_a_response_reach_no_other_request);
    CPPUNIT_TEST(late_response_reaches_no_other_request);
    CPPUNIT_TEST(unexpected_bytes_on_an_idle_connection_are_detected);
    CPPUNIT_TEST(complete_responses_are_accepted);
    CPPUNIT_TEST_SUITE_END();

    struct bad_response
    {
        std::string bytes;
        exchange_error error;
    };

    static std::vector<bad_response> bad_responses()
    {
        const std::string start = "HTTP/1.1 200 OK\r\n";
        const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
        return {
            {"", exchange_error::connection_lost},
            {"HTTP/1.1 2", exchange_error::truncated},
            {start + "Content-Length: 5\r\n", exchange_error::truncated},
            {start + "Content-Length: 5\r\n\r\nabc", exchange_error::truncated},
            {chunked, exchange_error::truncated},
            {chunked + "3\r\nab", exchange_error::truncated},
            {chunked + "3\r\nabc\r\n", exchange_error::truncated},
            {chunked + "3\r\nabc\r\n0\r\n", exchange_error::truncated},
            {"HTTP/1.1 100 Continue\r\n\r\n", exchange_error::truncated},
            {start + "\r\nabc", exchange_error::unknown_length},
            {start + "Connection: close\r\n\r\nabc", exchange_error::unknown_length},
            {start + "Content-Length: 5\r\nContent-Length: 3\r\n\r\nabcde", exchange_error::malformed},
            {start + "Content-Length: x\r\n\r\n", exchange_error::malformed},
            {start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", exchange_error::malformed},
            {start + "Transfer-Encoding: gzip\r\n\r\nabc", exchange_error::malformed},
            {chunked + "z\r\nabc\r\n", exchange_error::malformed},
            {start + "X: a\nContent-Length: 0\r\n\r\n", exchange_error::malformed},
            {start + " folded\r\nContent-Length: 0\r\n\r\n", exchange_error::malformed},
            {"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", exchange_error::malformed},
            {"HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n", exchange_error::malformed},
            {start + "X Y: a\r\nContent-Length: 0\r\n\r\n", exchange_error::malformed},
            {start + "X\x01Y: a\r\nContent-Length: 0\r\n\r\n", exchange_error::malformed},
            {start + "Content-Length : 5\r\n\r\nabcde", exchange_error::malformed},
            {"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", exchange_error::malformed},
            {"x\r\n\r\n", exchange_error::malformed},
            {"HTTP/1.1 101 Switching Protocols\r\n\r\n", exchange_error::malformed},
            {start + "Content-Length: 2000\r\n\r\n" + std::string(2000, 'a'), exchange_error::too_large},
            {chunked + "7d0\r\n" + std::string(2000, 'a') + "\r\n0\r\n\r\n", exchange_error::too_large},
            {start + "X: " + std::string(5000, 'a') + "\r\n\r\n", exchange_error::too_large},
        };
    }

    static outgoing_request small_request()
    {
        return {.target = "/x",
                .deadline = core::boot_clock::now() + std::chrono::seconds{30},
                .max_response_body_bytes = 1000};
    }

public:
    void invalid_responses_are_reported_and_their_connections_closed()
    {
        const std::vector<bad_response> table = bad_responses();
        scripted_peer peer{[&table](scripted_peer& upstream, int descriptor, int connection_index)
                           {
                               upstream.receive_request(descriptor);
                               scripted_peer::send(descriptor, table.at(connection_index).bytes);
                           }};
        client_pool pool{client_pool_options{.max_response_head_bytes = 4096}};
        for (const bad_response& bad : table)
        {
            const exchange_result result = pool.send(peer.served_endpoint(), small_request());
            CPPUNIT_ASSERT_MESSAGE(bad.bytes.substr(0, 200), result.progress == exchange_progress::sent);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bad.bytes.substr(0, 200), static_cast<int>(bad.error),
                                         static_cast<int>(result.error));
            CPPUNIT_ASSERT(result.verdict().result == core::outcome::may_have_run);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool.idle_count());
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(table.size()), peer.requests());
    }

    void bytes_after_a_response_reach_no_other_request()
    {
        const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        for (const std::string& extra : {whole, std::string{"x"}, std::string{"\r\n"}})
        {
            scripted_peer peer{
                [&](scripted_peer& upstream, int descriptor, int connection_index)
                {
                    upstream.receive_request(descriptor);
                    scripted_peer::send(descriptor,
                                        connection_index == 0
                                            ? whole + extra
                                            : "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
                    scripted_peer::wait_for_close(descriptor);
                }};
            client_pool pool{client_pool_options{}};
            CPPUNIT_ASSERT_EQUAL(std::string{"first"},
                                 pool.send(peer.served_endpoint(), small_request()).answer.body);
            CPPUNIT_ASSERT_EQUAL(std::string{"second"},
                                 pool.send(peer.served_endpoint(), small_request()).answer.body);
        }
    }

    void late_response_reaches_no_other_request()
    {
        scripted_peer peer{[](scripted_peer& upstream, int descriptor, int connection_index)
                           {
                               upstream.receive_request(descriptor);
                               if (connection_index == 0)
                               {
                                   // Responds only after the client has closed the connection.
                                   scripted_peer::wait_for_close(descriptor);
                               }
                               const std::string body = connection_index == 0 ? "late " : "other";
                               scripted_peer::send(descriptor,
                                                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + body);
                           }};
        client_pool pool{client_pool_options{}};
        outgoing_request first = small_request();
        first.first_byte_timeout = std::chrono::milliseconds{20};
        const exchange_result silent = pool.send(peer.served_endpoint(), first);
        CPPUNIT_ASSERT(silent.error == exchange_error::silent);
        CPPUNIT_ASSERT(silent.verdict().why == core::reason::upstream_silent);
        CPPUNIT_ASSERT_EQUAL(std::string{"other"},
                             pool.send(peer.served_endpoint(), small_request()).answer.body);
    }

    void unexpected_bytes_on_an_idle_connection_are_detected()
    {
        std::promise<void> idle;
        std::promise<void> extra_bytes_sent;
        scripted_peer peer{[&](scripted_peer& upstream, int descriptor, int connection_index)
                           {
                               upstream.receive_request(descriptor);
                               scripted_peer::send(descriptor, "HTTP/1.1 204 No Content\r\n\r\n");
                               if (connection_index == 0)
                               {
                                   idle.get_future().wait();
                                   scripted_peer::send(descriptor,
                                                       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                                   scripted_peer::wait_until_delivered(descriptor);
                                   extra_bytes_sent.set_value();
                                   scripted_peer::wait_for_close(descriptor);
                               }
                           }};
        client_pool pool{client_pool_options{}};
        CPPUNIT_ASSERT(pool.send(peer.served_endpoint(), small_request()).complete());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.idle_count());
        idle.set_value();
        extra_bytes_sent.get_future().wait();
        const exchange_result result = pool.send(peer.served_endpoint(), small_request());
        CPPUNIT_ASSERT_EQUAL(204, result.answer.status);
        CPPUNIT_ASSERT(!result.reused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, pool.stale_count());
    }

    /// Guards against checks that reject valid responses.
    void complete_responses_are_accepted()
    {
        const std::vector<std::pair<std::string, std::string>> table{
            {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc"},
            {"HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc", "abc"},
            {"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc"},
            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a"},
            {"HTTP/1.1 302 Found\r\nLocation: /%0d%0a\r\nContent-Length: 0\r\n\r\n", ""},
            {"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n", ""},
            {"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: "
             "v\r\n\r\n",
             "abcde"}};
        scripted_peer peer{[&table](scripted_peer& upstream, int descriptor, int connection_index)
                           {
                               upstream.receive_request(descriptor);
                               // One byte per send, so that the parser has to resume at every position.
                               for (const char byte : table.at(connection_index).first)
                               {
                                   scripted_peer::send(descriptor, {&byte, 1});
                               }
                           }};
        client_pool pool{client_pool_options{}};
        for (const auto& [bytes, body] : table)
        {
            const exchange_result result = pool.send(peer.served_endpoint(), small_request());
            CPPUNIT_ASSERT_MESSAGE(bytes, result.complete());
            CPPUNIT_ASSERT_EQUAL(body, result.answer.body);
            pool.close_idle(peer.served_endpoint());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bad_response_test);

} // namespace laburnumreach::http
