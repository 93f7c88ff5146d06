#ifndef LABURNUMREACH_SIDECAR_PLAIN_CLIENT_HPP
#define LABURNUMREACH_SIDECAR_PLAIN_CLIENT_HPP

#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/sidecar/asio.hpp"

#include <charconv>
#include <string>
#include <string_view>

namespace laburnumreach::sidecar
{

/// A blocking caller with one kept connection.
class plain_client
{
public:
    explicit plain_client(const config::endpoint& address)
    {
        this->socket.connect(make_endpoint(address.address, address.port));
    }

    void send(const std::string& text)
    {
        error_code ignored; // A closed connection shows at the read.
        asio::write(this->socket, asio::buffer(text), ignored);
    }

    /// Sends a request without a body.
    void request(const std::string& method, const std::string& target, const std::string& fields = {})
    {
        this->send(method + ' ' + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + fields + "\r\n");
    }

    /// Reads one response.
    /// @returns its status; 0 if the connection ends before its end
    int read_status()
    {
        error_code error;
        const std::size_t head = asio::read_until(this->socket, asio::dynamic_buffer(this->received),
                                                  std::string_view{"\r\n\r\n"}, error);
        if (error)
        {
            return 0;
        }
        constexpr std::string_view length_field = "Content-Length: ";
        const std::size_t field = this->received.find(length_field);
        const std::size_t body = field < head ? number_at(field + length_field.size()) : 0;
        if (this->received.size() < head + body)
        {
            asio::read(this->socket, asio::dynamic_buffer(this->received),
                       asio::transfer_exactly(head + body - this->received.size()), error);
        }
        constexpr std::size_t status_offset = 9; // After "HTTP/1.1 ".
        const int status = static_cast<int>(number_at(status_offset));
        this->received.erase(0, head + body);
        return error ? 0 : status;
    }

private:
    std::size_t number_at(std::size_t offset) const
    {
        std::size_t value = 0;
        std::from_chars(this->received.data() + offset, this->received.data() + this->received.size(), value);
        return value;
    }

    asio::io_context io{1};
    tcp::socket socket{this->io};
    std::string received;
};

} // namespace laburnumreach::sidecar

#endif
