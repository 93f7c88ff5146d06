#ifndef LABURNUMREACH_STANDIN_PORT_RESERVATION_HPP
#define LABURNUMREACH_STANDIN_PORT_RESERVATION_HPP

#include <cstdint>
#include <string>

namespace laburnumreach::standin
{

/// Keeps a loopback port for a listener that a test opens later.
///
/// A port that was only looked up can be taken before the listener binds it: by the next look-up, or as the
/// local port of any outgoing connection. The reservation keeps a socket bound to the port without listening.
/// With SO_REUSEADDR on both sockets a listener can still bind it, and the kernel gives it to nobody else.
class port_reservation
{
public:
    /// Reserves a port that the kernel chooses.
    /// @throws std::system_error when no port can be had
    port_reservation();
    ~port_reservation();

    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;
    port_reservation(port_reservation&& other) noexcept;
    port_reservation& operator=(port_reservation&&) = delete;

    std::uint16_t port() const noexcept { return this->number; }

    /// Returns "127.0.0.1:PORT".
    std::string address() const;

private:
    int descriptor = -1;
    std::uint16_t number = 0;
};

} // namespace laburnumreach::standin

#endif
