#ifndef LABURNUMREACH_SIDECAR_CUTTING_INSTANCE_HPP
#define LABURNUMREACH_SIDECAR_CUTTING_INSTANCE_HPP

#include "laburnumreach/sidecar/asio.hpp"

#include <string>
#include <thread>

namespace laburnumreach::sidecar
{

/// How an instance ends a connection after its response.
enum class connection_end : std::uint8_t
{
    close,       ///< Regularly, at once if the request was read and else after the rest of it.
    reset,       ///< By a reset, whatever was read.
    early_close, ///< Without reading the rest of the request, which makes the system reset the connection.
};

/// Instance on the loopback address, in a thread of its own, that sends a part of a response and ends the
/// connection. Serves one connection.
class cutting_instance
{
public:
    struct script
    {
        std::string response;
        connection_end end = connection_end::close;
        std::size_t request_bytes = 0; ///< Size of the request, without its head.
        std::size_t request_read = 0;  ///< Number of bytes of it that are read before the response.
    };

    explicit cutting_instance(script played)
        : thread([this, played = std::move(played)] { this->serve(played); })
    {
    }

    ~cutting_instance() { this->thread.join(); }

    cutting_instance(const cutting_instance&) = delete;
    cutting_instance& operator=(const cutting_instance&) = delete;

    tcp::endpoint address() const { return this->acceptor.local_endpoint(); }

private:
    void serve(const script& played)
    {
        error_code ignored; // The client ends the connection when it has seen enough.
        tcp::socket socket{this->io};
        this->acceptor.accept(socket, ignored);
        std::string received;
        const std::size_t head =
            asio::read_until(socket, asio::dynamic_buffer(received), std::string_view{"\r\n\r\n"}, ignored);
        const std::size_t already = received.size() - head;
        read(socket, played.request_read - std::min(already, played.request_read));
        asio::write(socket, asio::buffer(played.response), ignored);
        if (played.end == connection_end::close)
        {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            const std::size_t seen = std::max(already, played.request_read);
            read(socket, played.request_bytes - std::min(seen, played.request_bytes));
        }
        else if (played.end == connection_end::reset)
        {
            socket.set_option(asio::socket_base::linger{true, 0}, ignored);
        }
        socket.close(ignored);
    }

    static void read(tcp::socket& socket, std::size_t size)
    {
        std::string discarded(size, '\0');
        error_code ignored; // As above.
        asio::read(socket, asio::buffer(discarded), ignored);
    }

    asio::io_context io{1};
    tcp::acceptor acceptor{this->io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    std::thread thread;
};

} // namespace laburnumreach::sidecar

#endif
