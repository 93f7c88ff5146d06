#ifndef LABURNUMREACH_PROTOCOL_CONTROL_TRANSPORT_HPP
#define LABURNUMREACH_PROTOCOL_CONTROL_TRANSPORT_HPP

#include "laburnumreach/core/error.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnumreach::protocol
{

/// Settings of a control_transport.
struct control_transport_options
{
    std::string listen_address; ///< "ip:port" of this daemon's control listener.
    /// Connections kept open; the least recently used one is closed over this number.
    std::size_t max_connections = 64;
    /// Largest message accepted, in bytes. The library's default is unlimited.
    std::size_t max_message_bytes = 2 * 1024 * 1024;
};

/// Traffic counters of a control_transport.
struct control_transport_counters
{
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_dropped = 0; ///< Not queued because the connection was down or its queue full.
};

/// Sends and receives datagram-like control messages over nng push and pull sockets.
///
/// A queued message may be lost, and nothing is resent: the protocols above tolerate loss, so the library's
/// request resending, which can duplicate work, is not used. All functions are called by the control thread.
class control_transport
{
public:
    /// Starts to listen.
    /// @returns an error when the address cannot be bound
    static core::result<std::unique_ptr<control_transport>> open(const control_transport_options& options);

    control_transport(const control_transport&) = delete;
    control_transport& operator=(const control_transport&) = delete;
    ~control_transport();

    /// Returns a descriptor that is readable while a message waits.
    int receive_descriptor() const noexcept;

    /// Takes the next waiting message without blocking.
    /// @returns false when none waits
    bool receive(std::vector<std::uint8_t>& message);

    /// Queues a message without blocking. It is dropped and counted when it cannot be queued.
    /// @param address "ip:port" of the receiver's control listener
    void send(std::string_view address, std::span<const std::uint8_t> message);

    /// Closes the connection to an address, so that the next message opens a new one. Used when a peer does
    /// not answer: the connection may be silent for good while a new one works.
    void reset(std::string_view address);

    /// Returns the traffic counters.
    const control_transport_counters& counters() const noexcept { return this->traffic; }

private:
    struct socket_handle;
    struct connection;

    control_transport(const control_transport_options& options, std::unique_ptr<socket_handle> listener,
                      int descriptor);
    connection* connection_to(std::string_view address);

    control_transport_options options;
    std::unique_ptr<socket_handle> listener;
    int descriptor;
    std::list<connection> connections; ///< Most recently used first.
    std::unordered_map<std::string, std::list<connection>::iterator> connections_by_address;
    control_transport_counters traffic;
};

} // namespace laburnumreach::protocol

#endif
