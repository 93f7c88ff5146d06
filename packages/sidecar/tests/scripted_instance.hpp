#ifndef LABURNUMREACH_SIDECAR_SCRIPTED_INSTANCE_HPP
#define LABURNUMREACH_SIDECAR_SCRIPTED_INSTANCE_HPP

#include "laburnumreach/sidecar/asio.hpp"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// Server on the loopback address in place of an instance. Sends the bytes that a test scripts, whether they
/// are HTTP or not.
class scripted_instance
{
public:
    /// One accepted connection.
    class connection : public std::enable_shared_from_this<connection>
    {
    public:
        connection(tcp::socket accepted, scripted_instance& server)
            : socket(std::move(accepted)), owner(server)
        {
        }

        /// Reads requests without a body and passes each to the script.
        void read()
        {
            this->socket.async_read_some(
                asio::buffer(this->block),
                [self = this->shared_from_this()](const error_code& error, std::size_t count)
                { self->on_read(error, count); });
        }

        void send(std::string bytes)
        {
            const auto held = std::make_shared<std::string>(std::move(bytes));
            asio::async_write(this->socket, asio::buffer(*held),
                              [self = this->shared_from_this(), held](const error_code&, std::size_t count)
                              { self->owner.bytes_sent += count; });
        }

        /// Sends the bytes again and again until the peer closes the connection.
        /// @param pause time between two sends
        void send_without_end(std::string bytes, std::chrono::milliseconds pause = {})
        {
            const auto held = std::make_shared<std::string>(std::move(bytes));
            const auto timer = std::make_shared<asio::steady_timer>(this->socket.get_executor());
            this->send_next(held, timer, pause);
        }

        void close() { this->socket.close(); }

        /// Sends bytes, and closes the connection when they are sent.
        /// @param with_reset whether to reset the connection instead
        void send_and_close(std::string bytes, bool with_reset = false)
        {
            const auto held = std::make_shared<std::string>(std::move(bytes));
            asio::async_write(
                this->socket, asio::buffer(*held),
                [self = this->shared_from_this(), held, with_reset](const error_code&, std::size_t count)
                {
                    self->owner.bytes_sent += count;
                    self->socket.set_option(asio::socket_base::linger{with_reset, 0});
                    self->socket.close();
                });
        }

        tcp::socket::executor_type executor() { return this->socket.get_executor(); }

        bool closed_by_peer = false;

    private:
        void on_read(const error_code& error, std::size_t count)
        {
            if (error)
            {
                this->closed_by_peer = true;
                return;
            }
            this->received.append(this->block.data(), count);
            for (std::size_t end = this->received.find("\r\n\r\n"); end != std::string::npos;
                 end = this->received.find("\r\n\r\n"))
            {
                constexpr std::size_t head_end_bytes = 4;
                this->owner.requests.push_back(this->received.substr(0, end));
                this->received.erase(0, end + head_end_bytes);
                if (this->owner.on_request)
                {
                    this->owner.on_request(*this, this->owner.requests.size());
                }
            }
            if (this->socket.is_open())
            {
                this->read();
            }
        }

        void send_next(const std::shared_ptr<std::string>& bytes,
                       const std::shared_ptr<asio::steady_timer>& timer, std::chrono::milliseconds pause)
        {
            asio::async_write(this->socket, asio::buffer(*bytes),
                              [self = this->shared_from_this(), bytes, timer, pause](const error_code& error,
                                                                                     std::size_t count)
                              {
                                  self->owner.bytes_sent += count;
                                  if (error)
                                  {
                                      self->closed_by_peer = true;
                                      return;
                                  }
                                  timer->expires_after(pause);
                                  timer->async_wait([self, bytes, timer, pause](const error_code&)
                                                    { self->send_next(bytes, timer, pause); });
                              });
        }

        tcp::socket socket;
        scripted_instance& owner;
        std::string received;
        std::array<char, 4096> block{};
    };

    explicit scripted_instance(asio::io_context& io)
        : acceptor(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0})
    {
        this->accept();
    }

    tcp::endpoint address() const { return this->acceptor.local_endpoint(); }

    std::size_t open_connections() const
    {
        return static_cast<std::size_t>(std::count_if(this->connections.begin(), this->connections.end(),
                                                      [](const auto& accepted)
                                                      { return !accepted->closed_by_peer; }));
    }

    /// Called with each request and its number, counted from 1.
    std::function<void(connection&, std::size_t)> on_request;
    std::vector<std::string> requests; ///< Heads without their empty line.
    std::vector<std::shared_ptr<connection>> connections;
    std::size_t bytes_sent = 0;

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](const error_code& error, tcp::socket socket)
            {
                if (!error)
                {
                    this->connections.push_back(std::make_shared<connection>(std::move(socket), *this));
                    this->connections.back()->read();
                    this->accept();
                }
            });
    }

    tcp::acceptor acceptor;
};

} // namespace laburnumreach::sidecar

#endif
