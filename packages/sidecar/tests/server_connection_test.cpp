#include "laburnumreach/sidecar/server_connection.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

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
    CPPUNIT_TEST(pipelined_requests_that_are_answered_at_once_use_no_stack);
    CPPUNIT_TEST(one_turn_of_the_event_loop_handles_few_requests);
    CPPUNIT_TEST(connection_with_many_pipelined_requests_stays_open);
    CPPUNIT_TEST(requests_wait_while_responses_are_unread);
    CPPUNIT_TEST(pipelined_requests_wait_while_memory_is_taken);
    CPPUNIT_TEST(request_that_waits_for_memory_meets_no_timeout);
    CPPUNIT_TEST(body_continues_when_memory_becomes_free);
    CPPUNIT_TEST(body_without_memory_is_refused_after_a_wait);
    CPPUNIT_TEST(single_body_may_exceed_the_limit);
    CPPUNIT_TEST(stalled_body_is_refused_beside_an_open_request);
    CPPUNIT_TEST(slow_body_is_refused_while_memory_is_short);
    CPPUNIT_TEST(closed_connection_holds_no_memory);
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
        this->accept_connection();
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

    /// A response that was made at once led back into the parser, one stack frame deeper for each request.
    void pipelined_requests_that_are_answered_at_once_use_no_stack()
    {
        constexpr int count = 10'000;
        this->answer_at_once("");
        this->connection->start();
        this->send_without_reading(get("/a"), count);
        CPPUNIT_ASSERT_EQUAL(count, this->handled);
    }

    void one_turn_of_the_event_loop_handles_few_requests()
    {
        this->answer_at_once("");
        this->connection->start();
        std::string requests;
        for (int number = 0; number < 500; ++number)
        {
            requests += get("/a");
        }
        this->send(requests);
        int before = 0;
        int most = 0;
        this->io.restart();
        while (this->io.run_one_for(20ms) > 0)
        {
            most = std::max(most, this->handled - before);
            before = this->handled;
        }
        CPPUNIT_ASSERT_EQUAL(500, this->handled);
        CPPUNIT_ASSERT(most <= 16);
    }

    /// A connection that was not read from for a while was destroyed with its open requests.
    void connection_with_many_pipelined_requests_stays_open()
    {
        constexpr std::size_t count = 400;
        const std::string padding = "X: " + std::string(8000, 'x') + "\r\n";
        this->connection->start();
        std::thread sender{[&]
                           {
                               for (std::size_t number = 0; number < count; ++number)
                               {
                                   this->send(get("/a", padding));
                               }
                           }};
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, this->requests.size());
        std::size_t answered = 0;
        std::size_t total = 0;
        for (int idle_rounds = 0; answered < count && idle_rounds < 100; ++idle_rounds)
        {
            for (; answered < this->requests.size(); ++answered, idle_rounds = 0)
            {
                this->requests[answered]->respond({.status = 200});
                total += this->received().size();
            }
            this->run();
        }
        sender.join();
        CPPUNIT_ASSERT_EQUAL(count, answered);
        CPPUNIT_ASSERT(total > 0);
        CPPUNIT_ASSERT(this->connection->is_open());
    }

    void requests_wait_while_responses_are_unread()
    {
        constexpr int count = 1000;
        constexpr std::size_t response_bytes = 64 * 1024;
        this->answer_at_once(std::string(response_bytes, 'a'));
        this->connection->start();
        std::string requests;
        for (int number = 0; number < count; ++number)
        {
            requests += get("/a");
        }
        this->send(requests);
        this->run();
        CPPUNIT_ASSERT(this->handled < count);
        CPPUNIT_ASSERT(this->connection->held_bytes() < 512 * 1024);
        std::size_t total = 0;
        for (std::string part = this->received(); !part.empty(); part = this->received())
        {
            total += part.size();
            this->run();
        }
        CPPUNIT_ASSERT_EQUAL(count, this->handled);
        CPPUNIT_ASSERT(total > response_bytes * count);
    }

    void pipelined_requests_wait_while_memory_is_taken()
    {
        this->account_memory(1024 * 1024);
        memory_reservation other{&this->memory, memory_use::other};
        other.resize(600 * 1024);
        this->connection->start();
        this->send(get("/a") + get("/b"));
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
        this->requests[0]->respond({.status = 200});
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->requests.size());
    }

    /// The head arrives in two parts and then waits longer than a head may take.
    void request_that_waits_for_memory_meets_no_timeout()
    {
        this->account_memory(1024 * 1024);
        memory_reservation other{&this->memory, memory_use::other};
        other.resize(600 * 1024);
        this->connection->start();
        const std::string second = get("/b");
        this->send(get("/a") + second.substr(0, 10));
        this->run();
        this->send(second.substr(10));
        this->run();
        this->connection->check_timeouts(core::boot_clock::now() + caller_limits{}.header_timeout + 1s);
        this->requests.at(0)->respond({.status = 200});
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->requests.size());
    }

    void body_continues_when_memory_becomes_free()
    {
        this->account_memory(1024 * 1024);
        memory_reservation other{&this->memory, memory_use::large_body};
        other.resize(700 * 1024);
        this->connection->start();
        this->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
                   std::string(200'000, 'b'));
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->context->waiting_for_memory.size());
        CPPUNIT_ASSERT(this->connection->resume_after_wait(core::boot_clock::now(), true));
        other.resize(0);
        CPPUNIT_ASSERT(!this->connection->resume_after_wait(core::boot_clock::now(), true));
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{200'000}, this->requests[0]->body.size());
    }

    void body_without_memory_is_refused_after_a_wait()
    {
        this->account_memory(1024 * 1024);
        memory_reservation other{&this->memory, memory_use::large_body};
        other.resize(700 * 1024);
        this->connection->start();
        this->send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n" +
                   std::string(0x30000, 'b'));
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::string{}, this->received());
        CPPUNIT_ASSERT(!this->connection->resume_after_wait(core::boot_clock::now() + 1s, true));
        this->run();
        const std::string response = this->received();
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 503"}, response.substr(0, 12));
        CPPUNIT_ASSERT(response.find("Retry-After: ") != std::string::npos);
        CPPUNIT_ASSERT(this->requests.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{700 * 1024}, this->memory.held_bytes() / 1024 * 1024);
    }

    /// The operators allow bodies of its size, so one alone is served.
    void single_body_may_exceed_the_limit()
    {
        this->account_memory(100 * 1024);
        this->connection->start();
        this->send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n" +
                   std::string(0x30000, 'b') + "\r\n0\r\n\r\n");
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
    }

    void stalled_body_is_refused_beside_an_open_request()
    {
        this->connection->start();
        this->send(get("/a") + "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nb");
        this->run();
        this->connection->check_timeouts(core::boot_clock::now() + caller_limits{}.header_timeout + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
        CPPUNIT_ASSERT_EQUAL(0, this->cancelled);
        this->requests[0]->respond({.status = 200});
        this->run();
        const std::string responses = this->received();
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 200"}, responses.substr(0, 12));
        CPPUNIT_ASSERT(responses.find("HTTP/1.1 408") != std::string::npos);
    }

    void slow_body_is_refused_while_memory_is_short()
    {
        this->connection->start();
        this->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nb");
        this->run();
        this->connection->end_slow_body(core::boot_clock::now());
        CPPUNIT_ASSERT_EQUAL(std::string{}, this->received());
        this->connection->end_slow_body(core::boot_clock::now() + caller_limits{}.header_timeout + 1s);
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 408"}, this->received().substr(0, 12));
    }

    void closed_connection_holds_no_memory()
    {
        this->account_memory(1024 * 1024);
        this->connection->start();
        this->send(get("/a") + "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nb");
        this->run();
        CPPUNIT_ASSERT(this->memory.held_bytes() > 1000);
        this->connection->close();
        this->requests.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->memory.held_bytes());
    }

private:
    /// Accounts for what the connection holds, and allows bodies of usual sizes.
    void account_memory(std::size_t limit)
    {
        this->memory.set_limit(limit);
        this->context->memory = &this->memory;
        this->context->limits = [] { return caller_limits{}; };
        this->accept_connection();
    }

    void accept_connection()
    {
        tcp::acceptor acceptor{this->io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
        this->caller = tcp::socket{this->io};
        this->caller.connect(acceptor.local_endpoint());
        this->connection = std::make_shared<server_connection>(acceptor.accept(), this->context);
    }

    /// Responds to each request when it is handled.
    void answer_at_once(const std::string& body)
    {
        this->context->handle = [this, body](const std::shared_ptr<exchange>& request)
        {
            ++this->handled;
            request->respond({.status = 404, .fields = {}, .body = body});
        };
    }

    /// Sends a request many times. The buffers of the system hold the responses.
    void send_without_reading(const std::string& request, int count)
    {
        std::thread sender{[&]
                           {
                               for (int number = 0; number < count; ++number)
                               {
                                   this->send(request);
                               }
                           }};
        for (int idle_rounds = 0; this->handled < count && idle_rounds < 100; ++idle_rounds)
        {
            this->run();
        }
        sender.join();
    }

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

    body_memory memory{1};
    asio::io_context io;
    std::shared_ptr<server_context> context = std::make_shared<server_context>();
    std::vector<std::shared_ptr<exchange>> requests;
    int cancelled = 0;
    int handled = 0;
    tcp::socket caller{io};
    std::shared_ptr<server_connection> connection;
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_connection_test);

} // namespace laburnumreach::sidecar
