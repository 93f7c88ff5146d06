#ifndef LABURNUMREACH_STANDIN_RAW_CALLER_HPP
#define LABURNUMREACH_STANDIN_RAW_CALLER_HPP

#include <arpa/inet.h>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace laburnumreach::standin
{

/// A caller that sends requests without waiting for answers, and closes its connection when it is destroyed.
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port) : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CPPUNIT_ASSERT_EQUAL(
            0, ::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    }

    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    ~raw_caller() { ::close(this->descriptor); }

    /// Sends a GET request with a nonce.
    void send(const std::string& nonce) const
    {
        const std::string text = "GET /p HTTP/1.1\r\nTest-Nonce: " + nonce + "\r\n\r\n";
        CPPUNIT_ASSERT(::send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL) ==
                       static_cast<ssize_t>(text.size()));
    }

    /// Waits for a part of an answer.
    void wait_for_answer() const
    {
        std::array<char, 64> part{};
        CPPUNIT_ASSERT(::recv(this->descriptor, part.data(), part.size(), 0) > 0);
    }

private:
    const int descriptor;
};

} // namespace laburnumreach::standin

#endif
