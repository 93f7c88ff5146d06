#include "laburnumreach/standin/port_reservation.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace laburnumreach::standin
{

namespace
{

void require(int result, const char* call)
{
    if (result < 0)
    {
        throw std::system_error(errno, std::generic_category(), call);
    }
}

} // namespace

port_reservation::port_reservation() : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    require(this->descriptor, "socket");
    const int on = 1;
    require(::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on), "setsockopt");
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof bound;
    require(::bind(this->descriptor, reinterpret_cast<sockaddr*>(&bound), size), "bind");
    require(::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&bound), &size), "getsockname");
    this->number = ntohs(bound.sin_port);
}

port_reservation::~port_reservation()
{
    if (this->descriptor >= 0)
    {
        ::close(this->descriptor);
    }
}

port_reservation::port_reservation(port_reservation&& other) noexcept
    : descriptor(std::exchange(other.descriptor, -1)), number(other.number)
{
}

std::string port_reservation::address() const
{
    return "127.0.0.1:" + std::to_string(this->number);
}

} // namespace laburnumreach::standin
