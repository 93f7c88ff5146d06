#include "laburnumreach/standin/local_client.hpp"

#include <array>
#include <utility>

namespace laburnumreach::standin
{

namespace
{

constexpr std::chrono::seconds connect_timeout{2};

/// One call on an open socket.
class call_stream : public socket_stream
{
public:
    call_stream(int connected, core::time_point call_deadline, const connection* on_behalf_of)
        : socket_stream(connected), deadline(call_deadline), caller(on_behalf_of)
    {
    }

    /// Returns why a wait was given up.
    local_client::failure cause() const { return this->given_up; }

protected:
    bool wait_ready(short events) const override
    {
        std::array<pollfd, 2> entries{{{.fd = this->socket(), .events = events, .revents = 0},
                                       {.fd = this->caller == nullptr ? -1 : this->caller->socket(),
                                        .events = POLLRDHUP,
                                        .revents = 0}}};
        if (poll_for(entries.data(), entries.size(), this->deadline - core::boot_clock::now()) <= 0)
        {
            this->given_up = local_client::failure::timeout;
            return false;
        }
        if ((entries[1].revents & closed_events) != 0)
        {
            this->given_up = local_client::failure::caller_gone;
            return false;
        }
        return true;
    }

private:
    const core::time_point deadline;
    const connection* const caller;
    mutable local_client::failure given_up = local_client::failure::none;
};

} // namespace

local_client::local_client(const loopback_address& target) : httplib::ClientImpl(target.ip, target.port)
{
    this->set_keep_alive(true);
    this->set_tcp_nodelay(true);
    this->set_url_encode(false);
    this->set_connection_timeout(connect_timeout);
}

local_client::failure local_client::call(httplib::Request& request, httplib::Response& response,
                                         core::duration timeout, const connection* on_behalf_of)
{
    this->deadline = core::boot_clock::now() + timeout;
    this->caller = on_behalf_of;
    this->cause = failure::none;
    httplib::Error error = httplib::Error::Success;
    if (this->send(request, response, error))
    {
        return failure::none;
    }
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout)
    {
        return failure::connect;
    }
    return this->cause == failure::none ? failure::broken : this->cause;
}

bool local_client::process_socket(const Socket& open, std::function<bool(httplib::Stream&)> callback)
{
    call_stream stream{open.sock, this->deadline, this->caller};
    if (!callback(stream))
    {
        this->cause = stream.cause();
        return false;
    }
    if (stream.has_buffered())
    {
        this->cause = failure::excess_bytes;
        return false;
    }
    return true;
}

} // namespace laburnumreach::standin
