#ifndef LABURNUMREACH_STANDIN_SOCKET_STREAM_HPP
#define LABURNUMREACH_STANDIN_SOCKET_STREAM_HPP

#include "laburnumreach/core/time.hpp"

#include <array>
#include <cstddef>
#include <httplib.h>
#include <poll.h>
#include <string>

namespace laburnumreach::standin
{

/// Events that tell that the other side has closed the connection.
inline constexpr short closed_events = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL;

/// Polls until a descriptor is ready or the time is over, also across interrupts by signals.
/// @returns the number of ready descriptors
int poll_for(pollfd* entries, nfds_t count, core::duration at_most);

/// Buffered reads and plain writes on a socket for cpp-httplib. Derived classes bound the waiting.
class socket_stream : public httplib::Stream
{
public:
    /// @param connected descriptor of a connected socket, owned by the caller
    explicit socket_stream(int connected) : descriptor(connected) {}

    /// Returns whether bytes were received that no one has read.
    bool has_buffered() const { return this->buffered_begin < this->buffered_end; }

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* buffer, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return this->descriptor; }

protected:
    /// Waits until the socket is ready for one of the events.
    /// @returns false when the transfer is to be given up
    virtual bool wait_ready(short events) const = 0;

private:
    const int descriptor;
    // cpp-httplib reads header lines byte by byte.
    std::array<char, 16 * 1024> buffered{};
    std::size_t buffered_begin = 0;
    std::size_t buffered_end = 0;
};

} // namespace laburnumreach::standin

#endif
