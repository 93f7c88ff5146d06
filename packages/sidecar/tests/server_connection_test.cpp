#include "laburnumreach/sidecar/server_connection.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t max_body_bytes = 100;

std::string get(const std::string& target, const std::string& fields = {})
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

} // namespace

/// Guards the behaviour of a connection towards its caller: order of responses, early close, timeouts and
/// requests whose caller has disconnected.
class server_connection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_connection_test);
    CPPUNIT_TEST(request_of_a_disconnected_caller_is_not_handled);
    CPPUNIT_TEST(disconnect_of_the_caller_cancels_its_request);
    CPPUNIT_TEST(pipelined_requests_are_handled_concurrently_and_answered_in_order);
    CPPUNIT_TEST(requests_pipelined_after_connection_close_are_not_handled);
    CPPUNIT_TEST(request_with_two_body_framings_is_refused);
    CPPUNIT_TEST(too_long_body_is_refused);
    CPPUNIT_TEST(large_body_without_memory_for_it_is_refused_before_it_is_read);
    CPPUNIT_TEST(chunked_body_is_read_in_parts);
    CPPUNIT_TEST(idle_connection_closes_after_its_limit);
    CPPUNIT_TEST(incomplete_head_closes_after_its_limit);
    CPPUNIT_TEST(caller_that_reads_nothing_is_disconnected);
    CPPUNIT_TEST(slow_caller_gets_the_whole_response);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->context->limits = []
        {
            caller_limits limits;
            limits.max_body_bytes = max_body_bytes;
            return limits;
        };
        this->context->handle = [this](const std::shared_ptr<exchange>& request)
        {
            this->requests.push_back(request);
            request->on_cancelled = [this] { ++this->cancelled; };
        };
        tcp::acceptor acceptor{this->io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
        this->caller.connect(acceptor.local_endpoint());
        this->connection = std::make_shared<server_connection>(acceptor.accept(), this->context);
    }

    /// A request and the close of the connection are both unread. The close must be detected before the
    /// request is handled; otherwise the instance runs a request half a second after its caller disconnected.
    void request_of_a_disconnected_caller_is_not_handled()
    {
        this->send(get("/gone"));
        this->caller.close();
        this->connection->start();
        this->run();
        CPPUNIT_ASSERT(this->requests.empty());
        CPPUNIT_ASSERT(!this->connection->is_open());
    }

    void disconnect_of_the_caller_cancels_its_request()
    {
        this->connection->start();
        this->send(get("/a"));
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->context->unanswered);
        this->caller.close();
        this->run();
        CPPUNIT_ASSERT_EQUAL(1, this->cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->context->unanswered);
    }

    void pipelined_requests_are_handled_concurrently_and_answered_in_order()
    {
        this->connection->start();
        this->send(get("/a") + get("/b"));
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->requests.size());
        this->requests[1]->respond({.status = 200, .fields = {}, .body = "second"});
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::string{}, this->received());
        this->requests[0]->respond({.status = 200, .fields = {}, .body = "first"});
        this->run();
        const std::string answers = this->received();
        CPPUNIT_ASSERT(answers.find("first") != std::string::npos);
        CPPUNIT_ASSERT(answers.find("first") < answers.find("second"));
    }

    /// The caller regards requests pipelined after a response with "Connection: close" as unprocessed and
    /// sends them again, so they must not be handled.
    void requests_pipelined_after_connection_close_are_not_handled()
    {
        this->connection->start();
        this->send(get("/a", "Connection: close\r\n") + get("/b"));
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
        this->requests[0]->respond({.status = 200});
        this->run();
        CPPUNIT_ASSERT(this->received().find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
    }

    /// Parsers differ in which of two framings they use, which allows request smuggling.
    void request_with_two_body_framings_is_refused()
    {
        this->connection->start();
        this->send(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        this->run();
        CPPUNIT_ASSERT(this->requests.empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 400"}, this->received().substr(0, 12));
    }

    void too_long_body_is_refused()
    {
        this->connection->start();
        this->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
        this->run();
        CPPUNIT_ASSERT(this->requests.empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 413"}, this->received().substr(0, 12));
    }

    void large_body_without_memory_for_it_is_refused_before_it_is_read()
    {
        this->context->limits = [] { return caller_limits{}; };
        this->context->has_memory_for = [](std::size_t bytes) { return bytes < 100'000; };
        this->connection->start();
        this->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
        this->run();
        CPPUNIT_ASSERT(this->requests.empty());
        const std::string response = this->received();
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 503"}, response.substr(0, 12));
        CPPUNIT_ASSERT(response.find("Retry-After: ") != std::string::npos);
    }

    void chunked_body_is_read_in_parts()
    {
        this->connection->start();
        this->send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
        this->run();
        CPPUNIT_ASSERT(this->requests.empty());
        this->send("c\r\n2\r\nde\r\n0\r\n\r\n");
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"abcde"}, this->requests[0]->body);
    }

    void idle_connection_closes_after_its_limit()
    {
        this->connection->start();
        this->run();
        const core::time_point now = core::boot_clock::now();
        this->connection->check_timeouts(now + caller_limits{}.idle_timeout - 1s);
        CPPUNIT_ASSERT(this->connection->is_open());
        this->connection->check_timeouts(now + caller_limits{}.idle_timeout + 1s);
        CPPUNIT_ASSERT(!this->connection->is_open());
    }

    void incomplete_head_closes_after_its_limit()
    {
        this->connection->start();
        this->send("GET / HTTP/1.1\r\nHo");
        this->run();
        const core::time_point now = core::boot_clock::now();
        this->connection->check_timeouts(now + caller_limits{}.header_timeout + 1s);
        CPPUNIT_ASSERT(!this->connection->is_open());
    }

    void caller_that_reads_nothing_is_disconnected()
    {
        this->start_large_response();
        const core::time_point now = core::boot_clock::now();
        this->connection->check_timeouts(now + caller_limits{}.idle_timeout / 2);
        CPPUNIT_ASSERT(this->connection->is_open());
        this->connection->check_timeouts(now + caller_limits{}.idle_timeout + 1s);
        CPPUNIT_ASSERT(!this->connection->is_open());
    }

    /// The timeout begins again with each part that the caller accepts.
    void slow_caller_gets_the_whole_response()
    {
        this->start_large_response();
        std::size_t total = 0;
        for (std::string part = this->received(); !part.empty(); part = this->received())
        {
            total += part.size();
            this->run();
            this->connection->check_timeouts(core::boot_clock::now() + caller_limits{}.idle_timeout - 1s);
            CPPUNIT_ASSERT(this->connection->is_open());
        }
        CPPUNIT_ASSERT(total > large_body_bytes);
    }

private:
    /// More than the buffers of both sockets hold.
    static constexpr std::size_t large_body_bytes = 32 * 1024 * 1024;

    void start_large_response()
    {
        this->connection->start();
        this->send(get("/a"));
        this->run();
        this->requests.at(0)->respond(
            {.status = 200, .fields = {}, .body = std::string(large_body_bytes, 'a')});
        this->run();
    }

    void send(const std::string& bytes) { asio::write(this->caller, asio::buffer(bytes)); }

    /// Runs the event loop until no event is ready for 20 ms.
    void run()
    {
        this->io.restart();
        while (this->io.run_one_for(20ms) > 0)
        {
        }
    }

    /// Returns the bytes that the caller received since the last call.
    std::string received()
    {
        this->caller.non_blocking(true);
        std::string bytes(4 * 1024 * 1024, '\0');
        error_code error; // Without bytes to read, the result is empty.
        bytes.resize(this->caller.read_some(asio::buffer(bytes), error));
        this->caller.non_blocking(false);
        return bytes;
    }

    asio::io_context io;
    std::shared_ptr<server_context> context = std::make_shared<server_context>();
    std::vector<std::shared_ptr<exchange>> requests;
    int cancelled = 0;
    tcp::socket caller{io};
    std::shared_ptr<server_connection> connection;
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_connection_test);

} // namespace laburnumreach::sidecar
