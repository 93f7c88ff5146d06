#include "laburnumreach/sidecar/response_end.hpp"

#include "cutting_instance.hpp"
#include "laburnumreach/sidecar/instance_connection.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <vector>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt: a-1\r\n";

/// A whole response in one of the framings.
struct whole_response
{
    std::string framing;
    std::string text;
    std::size_t head_bytes = 0;
    bool until_close = false;
};

std::vector<whole_response> responses()
{
    const std::string with_length = head + "Content-Length: 12\r\n\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string until_close = head + "\r\n";
    return {{.framing = "length", .text = with_length + "twelve bytes", .head_bytes = with_length.size()},
            {.framing = "chunks",
             .text = chunked + "7\r\ntwelve \r\n5\r\nbytes\r\n0\r\n\r\n",
             .head_bytes = chunked.size()},
            {.framing = "until close",
             .text = until_close + "twelve bytes",
             .head_bytes = until_close.size(),
             .until_close = true}};
}

/// How much of a request's body an instance reads before it responds.
enum class request_read : std::uint8_t
{
    all,
    half,
    none,
};

} // namespace

/// Guards against a response that ends early and is taken for a whole one. After a reset, an upload that was
/// still being written took the error, and the reader saw a regular end.
class response_end_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_end_test);
    CPPUNIT_TEST(end_follows_from_framing_connection_and_request);
    CPPUNIT_TEST(reset_during_an_upload_is_no_regular_end);
    CPPUNIT_TEST(regular_end_during_an_upload_is_one);
    CPPUNIT_TEST(response_cut_at_any_byte_is_complete_only_by_its_framing);
    CPPUNIT_TEST(invalid_heads_are_no_response);
    CPPUNIT_TEST_SUITE_END();

public:
    void end_follows_from_framing_connection_and_request()
    {
        using framing = http::body_framing::kind;
        using body = http::body_decoder::state;
        struct row
        {
            framing kind;
            body state;
            receive_result connection;
            request_write request;
            response_state expected;
        };
        std::vector<row> table;
        for (const framing kind : {framing::none, framing::length, framing::chunked})
        {
            for (const request_write request :
                 {request_write::in_progress, request_write::done, request_write::failed})
            {
                for (const receive_result connection :
                     {receive_result::open, receive_result::closed, receive_result::broken})
                {
                    table.push_back({kind, body::done, connection, request, response_state::complete});
                    table.push_back({kind, body::malformed, connection, request, response_state::incomplete});
                    table.push_back({kind, body::reading, connection, request,
                                     connection == receive_result::open ? response_state::reading
                                                                        : response_state::incomplete});
                }
            }
        }
        for (const request_write request :
             {request_write::in_progress, request_write::done, request_write::failed})
        {
            table.push_back(
                {framing::until_close, body::done, receive_result::open, request, response_state::reading});
            table.push_back({framing::until_close, body::done, receive_result::broken, request,
                             response_state::incomplete});
        }
        table.push_back({framing::until_close, body::done, receive_result::closed, request_write::in_progress,
                         response_state::undecided});
        table.push_back({framing::until_close, body::done, receive_result::closed, request_write::done,
                         response_state::complete});
        table.push_back({framing::until_close, body::done, receive_result::closed, request_write::failed,
                         response_state::incomplete});
        for (const row& entry : table)
        {
            CPPUNIT_ASSERT(judge_response(entry.kind, entry.state, entry.connection, entry.request) ==
                           entry.expected);
        }
    }

    void reset_during_an_upload_is_no_regular_end()
    {
        constexpr int rounds = 20; // The order in which the two errors are seen varies.
        const whole_response response = responses().back();
        for (int round = 0; round < rounds; ++round)
        {
            for (const connection_end end : {connection_end::reset, connection_end::early_close})
            {
                const instance_result result = play(response.text.substr(0, response.head_bytes + 6), end,
                                                    large_request_bytes, request_read::none);
                CPPUNIT_ASSERT(result.outcome == instance_outcome::broken);
            }
        }
    }

    void regular_end_during_an_upload_is_one()
    {
        for (const request_read read : {request_read::none, request_read::half, request_read::all})
        {
            const instance_result result =
                play(responses().back().text, connection_end::close, large_request_bytes, read);
            CPPUNIT_ASSERT(result.outcome == instance_outcome::complete);
            CPPUNIT_ASSERT_EQUAL(std::string{"twelve bytes"}, result.body);
        }
    }

    void response_cut_at_any_byte_is_complete_only_by_its_framing()
    {
        for (const whole_response& response : responses())
        {
            for (std::size_t cut = 0; cut <= response.text.size(); ++cut)
            {
                for (const connection_end end : {connection_end::close, connection_end::reset})
                {
                    this->check_cut(response, cut, end, request_read::all);
                    this->check_cut(response, cut, end, request_read::half);
                    this->check_cut(response, cut, end, request_read::none);
                }
            }
        }
    }

    void invalid_heads_are_no_response()
    {
        const std::string rest = "X-Attempt: a-1\r\nContent-Length: 5\r\n\r\nwhole";
        for (const std::string& begin :
             {std::string{"HTTP/1.1 000 OK\r\n"}, std::string{"HTTP/1.1 099 OK\r\n"},
              std::string{"HTTP/1.1 2000 OK\r\n"}, std::string{"HTTP/1.1 20 OK\r\n"},
              std::string{"HTTP/1.1 101 Switching Protocols\r\n"}, std::string{"HTTP/2.0 200 OK\r\n"},
              std::string{"HTTP/1.1 200 OK\r\nX Field: a\r\n"},
              std::string{"HTTP/1.1 200 OK\r\nX-Field : a\r\n"},
              std::string{"HTTP/1.1 200 OK\r\n X-Field: a\r\n"},
              std::string{"HTTP/1.1 200 OK\r\nX\tField: a\r\n"},
              std::string{"HTTP/1.1 200 OK\r\nX\x01"} + "Field: a\r\n",
              std::string{"HTTP/1.1 200 OK\r\nX-Field: a\x01\r\n"}, std::string{"HTTP/1.1 200 OK\r\n: a\r\n"},
              std::string{"HTTP/1.1 200 OK\r\nno colon\r\n"},
              std::string{"HTTP/1.1 200 OK\r\nX\0Field: a\r\n", 29},
              std::string{"HTTP/1.1 200 OK\r\nX-Field: a\rb\r\n"},
              std::string{"HTTP/1.1 200 OK\r\nX-Field: a\n"}})
        {
            const instance_result result = play(begin + rest, connection_end::close, 0, request_read::all);
            CPPUNIT_ASSERT_MESSAGE(begin, result.outcome == instance_outcome::broken);
        }
    }

private:
    /// More than the buffers of two sockets hold.
    static constexpr std::size_t large_request_bytes = 16 * 1024 * 1024;

    static void check_cut(const whole_response& response, std::size_t cut, connection_end end,
                          request_read read)
    {
        const std::size_t request_bytes = read == request_read::all ? 64 : 4 * 1024 * 1024;
        const bool is_whole = response.until_close
                                  ? cut >= response.head_bytes && end == connection_end::close
                                  : cut == response.text.size();
        const instance_result result = play(response.text.substr(0, cut), end, request_bytes, read);
        const std::string cell = response.framing + " cut at " + std::to_string(cut) + ", end " +
                                 std::to_string(static_cast<int>(end)) + ", request read " +
                                 std::to_string(static_cast<int>(read));
        CPPUNIT_ASSERT_MESSAGE(cell, (result.outcome == instance_outcome::complete) == is_whole);
        const std::string whole_body = "twelve bytes";
        const std::string expected =
            response.until_close && is_whole ? whole_body.substr(0, cut - response.head_bytes) : whole_body;
        CPPUNIT_ASSERT_MESSAGE(cell, !is_whole || result.body == expected);
    }

    /// Sends a request to an instance that sends some bytes and ends the connection.
    static instance_result play(std::string bytes, connection_end end, std::size_t request_bytes,
                                request_read read)
    {
        asio::io_context io{1};
        const std::size_t read_bytes = read == request_read::all    ? request_bytes
                                       : read == request_read::half ? request_bytes / 2
                                                                    : 0;
        cutting_instance server{{.response = std::move(bytes),
                                 .end = end,
                                 .request_bytes = request_bytes,
                                 .request_read = read_bytes}};
        const auto connection = std::make_shared<instance_connection>(
            io, instance_connection::options{.address = server.address(), .attempt_id_field = "X-Attempt"});
        std::optional<instance_result> found;
        connection->run("POST / HTTP/1.1\r\nHost: h\r\nX-Attempt: a-1\r\nContent-Length: " +
                            std::to_string(request_bytes) + "\r\n\r\n" + std::string(request_bytes, 'b'),
                        "a-1", false, [&](instance_result result) { found = std::move(result); });
        const core::time_point limit = core::boot_clock::now() + 10s;
        while (!found && core::boot_clock::now() < limit)
        {
            io.run_one_for(10ms);
        }
        connection->close();
        io.poll(); // Ends what is pending.
        CPPUNIT_ASSERT(found.has_value());
        return std::move(*found);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(response_end_test);

} // namespace laburnumreach::sidecar
