#ifndef LABURNUMREACH_HTTP_TESTS_RAW_CALLER_HPP
#define LABURNUMREACH_HTTP_TESTS_RAW_CALLER_HPP

#include <arpa/inet.h>
#include <array>
#include <cstdint>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace laburnumreach::http
{

/// A loopback connection on which a test sends and receives arbitrary bytes.
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port) : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        // Ends the test if the server does not respond.
        const timeval bound{.tv_sec = 30, .tv_usec = 0};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        {
            this->close();
            throw std::runtime_error{"connect"};
        }
    }

    raw_caller(raw_caller&& other) noexcept : descriptor(other.descriptor) { other.descriptor = -1; }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    ~raw_caller() { this->close(); }

    void close()
    {
        if (this->descriptor >= 0)
        {
            ::close(this->descriptor);
        }
        this->descriptor = -1;
    }

    void send(std::string_view bytes) const
    {
        while (!bytes.empty())
        {
            const ssize_t size = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (size <= 0)
            {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(size));
        }
    }

    /// Receives until the received text contains the expected part or the server closes.
    /// @returns everything received so far
    std::string receive_until(std::string_view part)
    {
        while (this->received.find(part) == std::string::npos && this->receive_some())
        {
        }
        return this->received;
    }

    /// Receives until the server closes. A reset counts as a close.
    std::string receive_all()
    {
        while (this->receive_some())
        {
        }
        return this->received;
    }

private:
    bool receive_some()
    {
        std::array<char, 4096> buffer;
        const ssize_t size = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0)
        {
            return false;
        }
        this->received.append(buffer.data(), static_cast<std::size_t>(size));
        return true;
    }

    int descriptor;
    std::string received;
};

/// Sends bytes on a new connection.
/// @returns everything received until the server closes it
inline std::string send_and_receive(std::uint16_t port, std::string_view bytes)
{
    raw_caller caller{port};
    caller.send(bytes);
    return caller.receive_all();
}

} // namespace laburnumreach::http

#endif
