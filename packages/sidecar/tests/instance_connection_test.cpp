#include "laburnumreach/sidecar/instance_connection.hpp"

#include "scripted_instance.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against instances that send bytes which are no response, also without end: memory must stay
/// bounded, the connection must be closed, and the outcome must be true.
class instance_connection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_connection_test);
    CPPUNIT_TEST(informational_responses_without_end_break_the_connection);
    CPPUNIT_TEST(head_without_end_breaks_the_connection);
    CPPUNIT_TEST(trailer_without_end_breaks_the_connection);
    CPPUNIT_TEST(chunk_extension_without_end_breaks_the_connection);
    CPPUNIT_TEST(body_without_end_breaks_the_connection);
    CPPUNIT_TEST(body_that_ends_with_the_connection_is_bounded);
    CPPUNIT_TEST(responses_to_other_requests_without_end_break_the_connection);
    CPPUNIT_TEST(bytes_after_the_response_close_the_connection);
    CPPUNIT_TEST(bytes_on_an_idle_connection_close_it);
    CPPUNIT_TEST(unsolicited_bytes_that_were_not_read_yet_prevent_reuse);
    CPPUNIT_TEST(connection_that_carried_a_skipped_response_is_not_reused);
    CPPUNIT_TEST(kept_connection_is_reused);
    CPPUNIT_TEST(single_bytes_make_a_response);
    CPPUNIT_TEST_SUITE_END();

public:
    void informational_responses_without_end_break_the_connection()
    {
        this->assert_bounded("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    }

    void head_without_end_breaks_the_connection()
    {
        this->assert_bounded("X-Field: " + std::string(1000, 'a') + "\r\n", "HTTP/1.1 200 OK\r\n");
    }

    void trailer_without_end_breaks_the_connection()
    {
        this->assert_bounded("X-Field: a\r\n", chunked_head + "0\r\n");
    }

    void chunk_extension_without_end_breaks_the_connection()
    {
        this->assert_bounded(std::string(1000, 'a'), chunked_head + "5;");
    }

    void body_without_end_breaks_the_connection()
    {
        this->assert_bounded("4000\r\n" + std::string(0x4000, 'a') + "\r\n", chunked_head);
    }

    void body_that_ends_with_the_connection_is_bounded()
    {
        this->assert_bounded(std::string(0x4000, 'a'), "HTTP/1.1 200 OK\r\nX-Attempt: a-1\r\n\r\n");
    }

    void responses_to_other_requests_without_end_break_the_connection()
    {
        this->assert_bounded(response("a-0"));
    }

    void bytes_after_the_response_close_the_connection()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send_without_end(response("a-1")); };
        const instance_result result = this->run_request("a-1");
        CPPUNIT_ASSERT(result.outcome == instance_outcome::complete);
        CPPUNIT_ASSERT_EQUAL(std::string{"whole"}, result.body);
        this->run_until([this] { return this->server.open_connections() == 0; });
        CPPUNIT_ASSERT(!this->connection->reusable(core::boot_clock::now()));
    }

    void bytes_on_an_idle_connection_close_it()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send(response("a-1")); };
        this->run_request("a-1");
        this->server.connections.front()->send("x");
        this->run_until([this] { return this->server.open_connections() == 0; });
        CPPUNIT_ASSERT(!this->connection->reusable(core::boot_clock::now()));
    }

    /// The bytes are in the socket's buffer, but the event loop has not run since they arrived.
    void unsolicited_bytes_that_were_not_read_yet_prevent_reuse()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send(response("a-1")); };
        this->run_request("a-1");
        this->server.connections.front()->send(response("a-1"));
        // Runs the accepted connection's send, but not the wait of the connection under test, which is posted
        // later.
        std::size_t rounds = 0;
        while (this->server.bytes_sent < 2 * response("a-1").size() && ++rounds < 1000)
        {
            this->io.poll_one();
        }
        CPPUNIT_ASSERT(!this->connection->reusable(core::boot_clock::now()) ||
                       !this->connection->has_nothing_to_read());
    }

    void connection_that_carried_a_skipped_response_is_not_reused()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send(response("a-0") + response("a-1")); };
        const instance_result result = this->run_request("a-1");
        CPPUNIT_ASSERT(result.outcome == instance_outcome::complete);
        CPPUNIT_ASSERT_EQUAL(std::string{"a-1"},
                             std::string{http::find_header(result.head.headers, "X-Attempt")});
        CPPUNIT_ASSERT(!this->connection->reusable(core::boot_clock::now()));
    }

    void kept_connection_is_reused()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t number)
        { peer.send(response("a-" + std::to_string(number))); };
        CPPUNIT_ASSERT(this->run_request("a-1").outcome == instance_outcome::complete);
        CPPUNIT_ASSERT(this->connection->reusable(core::boot_clock::now()));
        CPPUNIT_ASSERT(this->run_request("a-2").outcome == instance_outcome::complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server.connections.size());
    }

    void single_bytes_make_a_response()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        {
            for (const char byte : "HTTP/1.1 103 Early Hints\r\n\r\n" + response("a-1"))
            {
                peer.send(std::string{byte});
            }
        };
        const instance_result result = this->run_request("a-1");
        CPPUNIT_ASSERT(result.outcome == instance_outcome::complete);
        CPPUNIT_ASSERT_EQUAL(std::string{"whole"}, result.body);
    }

private:
    static constexpr std::size_t body_limit = 1024 * 1024;
    static inline const std::string chunked_head =
        "HTTP/1.1 200 OK\r\nX-Attempt: a-1\r\nTransfer-Encoding: chunked\r\n\r\n";

    static std::string response(const std::string& attempt_id)
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt: " + attempt_id + "\r\nContent-Length: 5\r\n\r\nwhole";
    }

    /// Asserts that the connection is closed as broken while the instance repeats bytes until then, before
    /// more than the limit and what fits into socket buffers was sent.
    void assert_bounded(const std::string& repeated, const std::string& begin = {})
    {
        this->server.on_request = [&](scripted_instance::connection& peer, std::size_t)
        {
            if (!begin.empty())
            {
                peer.send(begin);
            }
            peer.send_without_end(repeated);
        };
        const instance_result result = this->run_request("a-1");
        CPPUNIT_ASSERT(result.outcome == instance_outcome::broken);
        constexpr std::size_t socket_buffers = 8 * 1024 * 1024;
        CPPUNIT_ASSERT(this->server.bytes_sent < body_limit + socket_buffers);
        CPPUNIT_ASSERT(result.body.size() <= body_limit);
        this->run_until([this] { return this->server.open_connections() == 0; });
    }

    instance_result run_request(const std::string& attempt_id)
    {
        std::optional<instance_result> found;
        this->connection->run("GET / HTTP/1.1\r\nHost: h\r\nX-Attempt: " + attempt_id + "\r\n\r\n",
                              attempt_id, false, [&](instance_result result) { found = std::move(result); });
        this->run_until([&] { return found.has_value(); });
        this->connection->watch_idle();
        return std::move(*found);
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        const core::time_point limit = core::boot_clock::now() + 10s;
        while (!condition() && core::boot_clock::now() < limit)
        {
            this->io.run_one_for(10ms);
        }
        CPPUNIT_ASSERT(condition());
    }

    asio::io_context io{1};
    scripted_instance server{this->io};
    std::shared_ptr<instance_connection> connection = std::make_shared<instance_connection>(
        this->io, instance_connection::options{.address = this->server.address(),
                                               .max_body_bytes = body_limit,
                                               .attempt_id_field = "X-Attempt"});
};
CPPUNIT_TEST_SUITE_REGISTRATION(instance_connection_test);

} // namespace laburnumreach::sidecar
