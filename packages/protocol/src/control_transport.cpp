#include "laburnumreach/protocol/control_transport.hpp"

#include <cassert>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace laburnumreach::protocol
{

namespace
{

/// Messages queued per connection; a longer queue would only deliver stale heartbeats after a stall.
constexpr int send_queue_messages = 64;
constexpr int receive_queue_messages = 1024;
constexpr nng_duration reconnect_min_ms = 50;
constexpr nng_duration reconnect_max_ms = 1000;

std::string to_url(std::string_view address)
{
    return "tcp://" + std::string{address};
}

core::error to_error(int status, const std::string& what)
{
    return {.code = core::error_code::io, .message = what + ": " + ::nng_strerror(status)};
}

} // namespace

struct control_transport::socket_handle
{
    socket_handle() = default;
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;
    ~socket_handle()
    {
        if (this->is_open)
        {
            ::nng_close(this->socket);
        }
    }

    nng_socket socket = NNG_SOCKET_INITIALIZER;
    bool is_open = false;
};

struct control_transport::connection
{
    std::string address;
    std::unique_ptr<socket_handle> handle;
};

core::result<std::unique_ptr<control_transport>>
control_transport::open(const control_transport_options& options)
{
    auto listener = std::make_unique<socket_handle>();
    if (const int status = ::nng_pull0_open(&listener->socket); status != 0)
    {
        return tl::unexpected{to_error(status, "cannot open the control socket")};
    }
    listener->is_open = true;
    ::nng_socket_set_size(listener->socket, NNG_OPT_RECVMAXSZ, options.max_message_bytes);
    ::nng_socket_set_int(listener->socket, NNG_OPT_RECVBUF, receive_queue_messages);
    ::nng_socket_set_bool(listener->socket, NNG_OPT_TCP_KEEPALIVE, true);
    const std::string url = to_url(options.listen_address);
    if (const int status = ::nng_listen(listener->socket, url.c_str(), nullptr, 0); status != 0)
    {
        return tl::unexpected{to_error(status, "cannot listen on " + options.listen_address)};
    }
    int descriptor = -1;
    if (const int status = ::nng_socket_get_int(listener->socket, NNG_OPT_RECVFD, &descriptor); status != 0)
    {
        return tl::unexpected{to_error(status, "cannot poll the control socket")};
    }
    return std::unique_ptr<control_transport>{
        new control_transport{options, std::move(listener), descriptor}};
}

control_transport::control_transport(const control_transport_options& transport_options,
                                     std::unique_ptr<socket_handle> listening, int receive_fd)
    : options(transport_options), listener(std::move(listening)), descriptor(receive_fd)
{
    assert(this->options.max_connections > 0);
}

control_transport::~control_transport() = default;

int control_transport::receive_descriptor() const noexcept
{
    return this->descriptor;
}

bool control_transport::receive(std::vector<std::uint8_t>& message)
{
    nng_msg* received = nullptr;
    if (::nng_recvmsg(this->listener->socket, &received, NNG_FLAG_NONBLOCK) != 0)
    {
        return false;
    }
    const auto* begin = static_cast<const std::uint8_t*>(::nng_msg_body(received));
    message.assign(begin, begin + ::nng_msg_len(received));
    ::nng_msg_free(received);
    ++this->traffic.messages_received;
    this->traffic.bytes_received += message.size();
    return true;
}

void control_transport::send(std::string_view address, std::span<const std::uint8_t> message)
{
    connection* target = this->connection_to(address);
    if (target == nullptr)
    {
        ++this->traffic.messages_dropped;
        return;
    }
    nng_msg* outgoing = nullptr;
    if (::nng_msg_alloc(&outgoing, 0) != 0)
    {
        ++this->traffic.messages_dropped;
        return;
    }
    ::nng_msg_append(outgoing, message.data(), message.size());
    if (::nng_sendmsg(target->handle->socket, outgoing, NNG_FLAG_NONBLOCK) != 0)
    {
        ::nng_msg_free(outgoing);
        ++this->traffic.messages_dropped;
        return;
    }
    ++this->traffic.messages_sent;
    this->traffic.bytes_sent += message.size();
}

void control_transport::reset(std::string_view address)
{
    const auto found = this->connections_by_address.find(std::string{address});
    if (found == this->connections_by_address.end())
    {
        return;
    }
    this->connections.erase(found->second);
    this->connections_by_address.erase(found);
}

control_transport::connection* control_transport::connection_to(std::string_view address)
{
    const std::string key{address};
    if (const auto found = this->connections_by_address.find(key);
        found != this->connections_by_address.end())
    {
        this->connections.splice(this->connections.begin(), this->connections, found->second);
        return &this->connections.front();
    }
    auto handle = std::make_unique<socket_handle>();
    if (::nng_push0_open(&handle->socket) != 0)
    {
        return nullptr;
    }
    handle->is_open = true;
    ::nng_socket_set_int(handle->socket, NNG_OPT_SENDBUF, send_queue_messages);
    ::nng_socket_set_ms(handle->socket, NNG_OPT_RECONNMINT, reconnect_min_ms);
    ::nng_socket_set_ms(handle->socket, NNG_OPT_RECONNMAXT, reconnect_max_ms);
    ::nng_socket_set_bool(handle->socket, NNG_OPT_TCP_NODELAY, true);
    ::nng_socket_set_bool(handle->socket, NNG_OPT_TCP_KEEPALIVE, true);
    if (::nng_dial(handle->socket, to_url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0)
    {
        return nullptr;
    }
    if (this->connections.size() >= this->options.max_connections)
    {
        this->connections_by_address.erase(this->connections.back().address);
        this->connections.pop_back();
    }
    this->connections.push_front(connection{.address = key, .handle = std::move(handle)});
    this->connections_by_address.emplace(key, this->connections.begin());
    return &this->connections.front();
}

} // namespace laburnumreach::protocol
