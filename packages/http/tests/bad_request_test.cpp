#include "echo_server.hpp"
#include "raw_caller.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace laburnumreach::http
{

/// Guards against request smuggling: requests that this server and an upstream would interpret differently.
class bad_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bad_request_test);
    CPPUNIT_TEST(invalid_requests_are_refused_and_counted);
    CPPUNIT_TEST(invalid_chunks_are_refused);
    CPPUNIT_TEST(fields_arrive_unchanged);
    CPPUNIT_TEST_SUITE_END();

    struct bad_request
    {
        std::string bytes;
        message_error error;
    };

    static std::vector<bad_request> bad_requests()
    {
        const auto post = [](const std::string& fields)
        { return "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n0\r\n\r\n"; };
        const auto get = [](const std::string& fields)
        { return "GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"; };
        const std::string chunked = "Transfer-Encoding: chunked\r\n";
        const std::string with_nul{"X: a\0b\r\n", 8};
        return {
            {post("Content-Length: 5\r\n" + chunked), message_error::length_and_transfer_encoding},
            {post(chunked + "content-length: 5\r\n"), message_error::length_and_transfer_encoding},
            {post("Content-Length: 5\r\nContent-Length: 6\r\n"), message_error::length_repeated},
            {post("Content-Length: 5\r\nContent-Length: 5\r\n"), message_error::length_repeated},
            {post("Content-Length: 5, 5\r\n"), message_error::length_malformed},
            {post("Content-Length: +5\r\n"), message_error::length_malformed},
            {post("Content-Length: -5\r\n"), message_error::length_malformed},
            {post("Content-Length: 0x5\r\n"), message_error::length_malformed},
            {post("Content-Length: 5 5\r\n"), message_error::length_malformed},
            {post("Content-Length:\r\n"), message_error::length_malformed},
            {post("Content-Length: 99999999999999999999\r\n"), message_error::length_malformed},
            {post("Transfer-Encoding: gzip, chunked\r\n"), message_error::transfer_encoding_unsupported},
            {post("Transfer-Encoding: chunked, chunked\r\n"), message_error::transfer_encoding_unsupported},
            {post("Transfer-Encoding: identity\r\n"), message_error::transfer_encoding_unsupported},
            {post("Transfer-Encoding: xchunked\r\n"), message_error::transfer_encoding_unsupported},
            {post(chunked + chunked), message_error::transfer_encoding_unsupported},
            {"POST / HTTP/1.0\r\nHost: h\r\n" + chunked + "\r\n",
             message_error::transfer_encoding_unsupported},
            {post("Transfer-Encoding : chunked\r\n"), message_error::malformed_field},
            {get("X: a\r\n folded\r\n"), message_error::malformed_field},
            {get("no colon\r\n"), message_error::malformed_field},
            {get(": no name\r\n"), message_error::malformed_field},
            {get("X Y: a\r\n"), message_error::malformed_field},
            {get("X: a\x01\r\n"), message_error::control_character},
            {get(with_nul), message_error::control_character},
            {get("X: a\rY: b\r\n"), message_error::control_character},
            {get("X: a\nY: b\r\n"), message_error::bare_line_break},
            {"GET / HTTP/1.1\nHost: h\n\n", message_error::bare_line_break},
            {get("X: " + std::string(20'000, 'a') + "\r\n"), message_error::head_too_large},
            {"GET /" + std::string(40'000, 'a'), message_error::head_too_large},
            {"GET / HTTP/1.1\r\n\r\n", message_error::host_missing},
            {get("Host: h\r\n"), message_error::host_repeated},
            {"GET / HTTP/1.1\r\nHost:\r\n\r\n", message_error::host_malformed},
            {"GET / HTTP/1.1\r\nHost: a, b\r\n\r\n", message_error::host_malformed},
            {"GET / HTTP/1.2\r\nHost: h\r\n\r\n", message_error::unknown_version},
            {"GET / HTTP/2.0\r\nHost: h\r\n\r\n", message_error::unknown_version},
            {"GET / http/1.1\r\nHost: h\r\n\r\n", message_error::unknown_version},
            {"GET /\r\nHost: h\r\n\r\n", message_error::malformed_start_line},
            {"GET / a HTTP/1.1\r\nHost: h\r\n\r\n", message_error::malformed_start_line},
            {"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", message_error::malformed_start_line},
            {"G@T / HTTP/1.1\r\nHost: h\r\n\r\n", message_error::malformed_start_line},
            {"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", message_error::target_not_origin_form},
            {"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", message_error::target_not_origin_form},
            {"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", message_error::target_not_origin_form},
            {"GET /a\x80 HTTP/1.1\r\nHost: h\r\n\r\n", message_error::target_not_origin_form},
        };
    }

public:
    void invalid_requests_are_refused_and_counted()
    {
        const auto running = start_server({.workers = 2});
        for (const bad_request& bad : bad_requests())
        {
            const std::uint64_t before = running->counters().error_count(bad.error);
            // The request that follows in the same bytes must not be served either.
            const std::string answer =
                send_and_receive(running->port(), bad.bytes + "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
            const bool too_large = bad.error == message_error::head_too_large;
            CPPUNIT_ASSERT_MESSAGE(bad.bytes.substr(0, 200) + " -> " + answer,
                                   answer.starts_with(too_large ? "HTTP/1.1 431 " : "HTTP/1.1 400 "));
            CPPUNIT_ASSERT(answer.find(R"({"verdict":"not_run","reason":")") != std::string::npos);
            CPPUNIT_ASSERT(answer.find("smuggled") == std::string::npos);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bad.bytes.substr(0, 200), before + 1,
                                         running->counters().error_count(bad.error));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, running->counters().requests.load());
        CPPUNIT_ASSERT(
            send_and_receive(running->port(), "GET /after HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                .find("GET /after ") != std::string::npos);
    }

    /// The head is valid, so the handler runs and gets the error while it reads the body.
    void invalid_chunks_are_refused()
    {
        const std::vector<std::string> bodies{"x\r\nab\r\n0\r\n\r\n",
                                              "-2\r\nab\r\n0\r\n\r\n",
                                              "2\nab\r\n0\r\n\r\n",
                                              "2\r\nabc\r\n0\r\n\r\n",
                                              "\r\nab\r\n0\r\n\r\n",
                                              "fffffffffffffffff\r\nab\r\n0\r\n\r\n",
                                              "2;a\rb\r\nab\r\n\r\n",
                                              "0x2\r\nab\r\n0\r\n\r\n",
                                              "2 \r\nab\r\n0\r\n\r\n",
                                              "2\r\nab\n0\r\n\r\n",
                                              "0\r\nX: " + std::string(20'000, 'a') + "\r\n\r\n"};
        const auto running = start_server({.workers = 2});
        for (const std::string& body : bodies)
        {
            const std::string answer = send_and_receive(
                running->port(), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
            CPPUNIT_ASSERT_MESSAGE(body.substr(0, 50) + " -> " + answer, answer.starts_with("HTTP/1.1 400 "));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{bodies.size()},
                             running->counters().error_count(message_error::body_malformed));
    }

    /// Guards against cpp-httplib's decoding of header values, which would turn %0d%0a into a line break, and
    /// against its handling of Range, Accept-Encoding and encoded or multipart bodies.
    void fields_arrive_unchanged()
    {
        const std::string range = "bytes=0-1" + std::string(3000, ',');
        const auto handler = [&range](incoming_request& request, response& answer)
        {
            std::string body;
            read_whole_body(request, body);
            const bool same = find_header(request.head().headers, "x-value") == "a%0d%0aEvil: 1" &&
                              find_header(request.head().headers, "range") == range &&
                              request.head().headers.size() == 7 && body == "not gzip";
            answer.headers.emplace("X-Answer", "b%0d%0a");
            answer.headers.emplace("Content-Length", "99");
            answer.headers.emplace("X-Split", "a\r\nEvil: 2");
            answer.body = same ? std::string(2000, 's') : "different";
        };
        const auto running = start_server({.workers = 1}, handler);
        const std::string answers = send_and_receive(
            running->port(),
            "POST /a?b=%20?c HTTP/1.1\r\nHost: h\r\nX-Value: a%0d%0aEvil: 1\r\nRange: " + range +
                "\r\nAccept-Encoding: gzip\r\nContent-Encoding: gzip\r\nContent-Type: multipart/form-data\r\n"
                "Content-Length: 8\r\n\r\nnot gzip"
                "GET / HTTP/1.1\r\n\r\n");
        const std::string expected = "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\nX-Answer: b%0d%0a\r\n\r\n" +
                                     std::string(2000, 's') + "HTTP/1.1 400 ";
        CPPUNIT_ASSERT_EQUAL(expected, answers.substr(0, expected.size()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bad_request_test);

} // namespace laburnumreach::http
