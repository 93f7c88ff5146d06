#include "laburnumreach/platform/http_object_store.hpp"
#include "object_server.hpp"
#include "scripted_peer.hpp"
#include "store_contract.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace laburnumreach::platform
{

namespace
{

/// A loopback socket that takes connections and never answers.
class silent_listener
{
public:
    silent_listener() : socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* plain = reinterpret_cast<sockaddr*>(&address);
        CPPUNIT_ASSERT(::bind(this->socket, plain, size) == 0 && ::listen(this->socket, 8) == 0);
        CPPUNIT_ASSERT(::getsockname(this->socket, plain, &size) == 0);
        this->port = ntohs(address.sin_port);
    }
    ~silent_listener() { this->stop(); }
    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;

    void stop()
    {
        if (this->socket >= 0)
        {
            ::close(this->socket);
        }
        this->socket = -1;
    }

    std::uint16_t port = 0;

private:
    int socket;
};

http_object_store connect(std::uint16_t port, std::chrono::milliseconds timeout = std::chrono::seconds{10})
{
    return http_object_store{{.address = "127.0.0.1",
                              .port = port,
                              .request_timeout = timeout,
                              .daemon_id = "vm-a1",
                              .zone = "a"}};
}

} // namespace

/// Guards against a write whose effect is unknown but that is reported as refused: its sender would act as if
/// it had not happened.
class http_object_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_object_store_test);
    CPPUNIT_TEST(keeps_the_contract);
    CPPUNIT_TEST(names_itself_in_headers);
    CPPUNIT_TEST(status_codes_have_their_errors);
    CPPUNIT_TEST(a_damaged_answer_to_a_write_leaves_its_fate_unknown);
    CPPUNIT_TEST(a_malformed_response_is_a_failure);
    CPPUNIT_TEST(a_silent_platform_leaves_only_writes_unknown);
    CPPUNIT_TEST(a_refused_connection_has_no_effect);
    CPPUNIT_TEST(a_watch_is_interrupted);
    CPPUNIT_TEST_SUITE_END();

public:
    void keeps_the_contract()
    {
        object_server server;
        auto store = connect(server.port);
        check_store_contract(store);
        CPPUNIT_ASSERT(store.put_if("a b?c#d%2F", std::nullopt, "x").has_value());
        CPPUNIT_ASSERT(server.store.get("a b?c#d%2F").has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"x"}, store.get("a b?c#d%2F")->value);
    }

    void names_itself_in_headers()
    {
        object_server server;
        auto store = connect(server.port);
        CPPUNIT_ASSERT(store.put_if("x", std::nullopt, "1").has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"vm-a1"}, server.daemon_header);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, server.zone_header);
    }

    void status_codes_have_their_errors()
    {
        object_server server;
        auto store = connect(server.port);
        const std::vector<std::pair<int, core::error_code>> rows{
            {412, core::error_code::conflict},         {413, core::error_code::too_large},
            {429, core::error_code::unavailable},      {503, core::error_code::unavailable},
            {400, core::error_code::invalid_argument}, {500, core::error_code::outcome_unknown},
            {502, core::error_code::outcome_unknown}};
        for (const auto& [status, code] : rows)
        {
            server.status_for_all = status;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status),
                                   store.put_if("x", std::nullopt, "1").error().code == code);
        }
    }

    void a_damaged_answer_to_a_write_leaves_its_fate_unknown()
    {
        object_server server;
        auto store = connect(server.port);
        server.damaged = true;
        CPPUNIT_ASSERT(store.put_if("x", std::nullopt, "1").error().code ==
                       core::error_code::outcome_unknown);
        CPPUNIT_ASSERT(store.get("x").has_value());
    }

    /// A response without a definite end, or with a malformed head, counted as the platform's answer.
    void a_malformed_response_is_a_failure()
    {
        const std::string body = R"({"name":"x","version":1,"value":"v"})";
        CPPUNIT_ASSERT_EQUAL(std::size_t{36}, body.size());
        for (std::string text : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 000 Odd\r\nContent-Length: 36\r\n",
                                 "HTTP/1.1 200 OK\r\nContent Length: 5\r\n",
                                 "HTTP/1.1 200 OK\r\nContent-Length: 36\r\nX Y: a\r\n",
                                 "HTTP/1.1 200 OK\r\nContent-Length: 36\r\nX\x01Y: a\r\n",
                                 "HTTP/1.1 200 OK\r\nContent-Length: 36\r\nContent-Length: 2\r\n"})
        {
            text.append("\r\n").append(body);
            http::scripted_peer peer{[&text](http::scripted_peer& platform, int descriptor, int)
                                     {
                                         platform.receive_request(descriptor);
                                         http::scripted_peer::send(descriptor, text);
                                     }};
            auto store = connect(peer.served_endpoint().port);
            const auto read = store.get("x");
            CPPUNIT_ASSERT_MESSAGE(text, !read && read.error().code == core::error_code::unavailable);
            const auto written = store.put_if("x", std::nullopt, "1");
            CPPUNIT_ASSERT_MESSAGE(text,
                                   !written && written.error().code == core::error_code::outcome_unknown);
        }
    }

    void a_silent_platform_leaves_only_writes_unknown()
    {
        const silent_listener listener;
        auto store = connect(listener.port, std::chrono::milliseconds{50});
        CPPUNIT_ASSERT(store.put_if("x", std::nullopt, "1").error().code ==
                       core::error_code::outcome_unknown);
        CPPUNIT_ASSERT(store.remove_if("x", 1).error().code == core::error_code::outcome_unknown);
        CPPUNIT_ASSERT(store.get("x").error().code == core::error_code::unavailable);
        CPPUNIT_ASSERT(store.watch("x", 0, std::chrono::milliseconds{10}).error().code ==
                       core::error_code::unavailable);
    }

    void a_refused_connection_has_no_effect()
    {
        silent_listener listener;
        listener.stop();
        auto store = connect(listener.port);
        CPPUNIT_ASSERT(store.put_if("x", std::nullopt, "1").error().code == core::error_code::unavailable);
    }

    /// Guards against a shutdown that waits for the end of a long poll.
    void a_watch_is_interrupted()
    {
        const silent_listener listener;
        auto store = connect(listener.port);
        std::atomic<bool> ended = false;
        std::optional<core::error> error;
        core::posix_thread watcher{{.name = "watcher"},
                                   [&]
                                   {
                                       error = store.watch("x", 0, std::chrono::hours{1}).error();
                                       ended = true;
                                   }};
        while (!ended)
        {
            store.interrupt();
            std::this_thread::yield();
        }
        watcher.join();
        CPPUNIT_ASSERT(error->code == core::error_code::unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_object_store_test);

} // namespace laburnumreach::platform
