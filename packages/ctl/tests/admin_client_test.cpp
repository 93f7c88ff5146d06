#include "laburnumreach/ctl/admin_client.hpp"

#include "scripted_peer.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::ctl
{

/// Guards against a part of a daemon's answer, or one with a malformed head, that is shown as a whole one.
class admin_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admin_client_test);
    CPPUNIT_TEST(whole_answer_is_returned);
    CPPUNIT_TEST(answer_without_a_definite_end_is_none);
    CPPUNIT_TEST_SUITE_END();

public:
    void whole_answer_is_returned()
    {
        const auto answer = fetch("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"whole"}, *answer);
    }

    void answer_without_a_definite_end_is_none()
    {
        for (const std::string text :
             {"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
              "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\npart",
              "HTTP/1.1 200 OK\r\nX Y: a\r\nContent-Length: 4\r\n\r\npart"})
        {
            const auto answer = fetch(text);
            CPPUNIT_ASSERT_MESSAGE(text, !answer && answer.error().code == core::error_code::unavailable);
        }
    }

private:
    /// Reads from a daemon that sends some bytes and closes the connection.
    static core::result<std::string> fetch(const std::string& text)
    {
        http::scripted_peer peer{[&text](http::scripted_peer& daemon, int descriptor, int)
                                 {
                                     daemon.receive_request(descriptor);
                                     http::scripted_peer::send(descriptor, text);
                                 }};
        return fetch_admin({.address = "127.0.0.1", .port = peer.served_endpoint().port}, "/status",
                           std::chrono::seconds{10});
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(admin_client_test);

} // namespace laburnumreach::ctl
