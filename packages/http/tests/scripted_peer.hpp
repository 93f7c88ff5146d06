#ifndef LABURNUMREACH_HTTP_TESTS_SCRIPTED_PEER_HPP
#define LABURNUMREACH_HTTP_TESTS_SCRIPTED_PEER_HPP

#include "laburnumreach/core/posix_thread.hpp"
#include "laburnumreach/http/endpoint.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace laburnumreach::http
{

/// An upstream that serves one connection at a time by a script, which may violate the protocol.
class scripted_peer
{
public:
    /// Called with each accepted connection, which is closed afterwards.
    /// @param connection_index number of connections before this one
    using script = std::function<void(scripted_peer& peer, int descriptor, int connection_index)>;

    explicit scripted_peer(script served)
        : listening(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), serve(std::move(served))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(this->listening, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
            ::listen(this->listening, 16) != 0)
        {
            throw std::runtime_error{"bind"};
        }
        ::getsockname(this->listening, reinterpret_cast<sockaddr*>(&address), &size);
        this->bound_endpoint = {.address = "127.0.0.1", .port = ntohs(address.sin_port)};
        this->thread = core::posix_thread{{.name = "peer"}, [this] { this->run(); }};
    }

    scripted_peer(const scripted_peer&) = delete;
    scripted_peer& operator=(const scripted_peer&) = delete;

    ~scripted_peer()
    {
        ::shutdown(this->listening, SHUT_RDWR);
        this->thread.join();
        ::close(this->listening);
    }

    const endpoint& served_endpoint() const { return this->bound_endpoint; }

    /// Returns the number of complete requests received by receive_request.
    int requests() const { return this->request_count.load(); }

    /// Receives one request without body.
    /// @returns false when the client closed first
    bool receive_request(int descriptor)
    {
        std::string text;
        std::array<char, 4096> buffer;
        while (!text.ends_with("\r\n\r\n"))
        {
            const ssize_t size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
            if (size <= 0)
            {
                return false;
            }
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        ++this->request_count;
        return true;
    }

    static void send(int descriptor, std::string_view bytes)
    {
        ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// Waits until the client closes the connection.
    static void wait_for_close(int descriptor)
    {
        std::array<char, 4096> buffer;
        while (::recv(descriptor, buffer.data(), buffer.size(), 0) > 0)
        {
        }
    }

    /// Waits until the client's TCP stack has acknowledged everything that was sent, including a close.
    static void wait_until_delivered(int descriptor)
    {
        for (;;)
        {
            tcp_info info{};
            socklen_t size = sizeof info;
            ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size);
            const bool fin_pending = info.tcpi_state == TCP_FIN_WAIT1 || info.tcpi_state == TCP_CLOSING;
            if (!fin_pending && (info.tcpi_unacked == 0 || info.tcpi_state == TCP_CLOSE))
            {
                return;
            }
            ::usleep(100);
        }
    }

private:
    void run()
    {
        for (int connection_index = 0;; ++connection_index)
        {
            const int descriptor = ::accept4(this->listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
            {
                return;
            }
            this->serve(*this, descriptor, connection_index);
            ::close(descriptor);
        }
    }

    int listening;
    script serve;
    endpoint bound_endpoint;
    std::atomic<int> request_count{0};
    core::posix_thread thread;
};

} // namespace laburnumreach::http

#endif
