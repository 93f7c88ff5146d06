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
    /// Maximum number of open connections; beyond it, the least recently used one is closed.
    std::size_t max_connections = 64;
    /// Maximum size of a received message; nng has no limit by default.
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

/// Sends and receives control messages over nng push and pull sockets, without a delivery guarantee.
///
/// A queued message may be lost and is not resent, since the protocols above tolerate loss. The resending
/// request sockets of nng are not used because they can duplicate work. Not thread-safe: all functions are
/// called by the control thread.
class control_transport
{
public:
    /// Starts to listen.
    /// @returns io when the socket cannot be created or the address cannot be bound
    static core::result<std::unique_ptr<control_transport>> open(const control_transport_options& options);

    control_transport(const control_transport&) = delete;
    control_transport& operator=(const control_transport&) = delete;
    ~control_transport();

    /// Returns a file descriptor that is readable while a message is available.
    int receive_descriptor() const noexcept;

    /// Receives the next message without blocking.
    /// @returns false when no message is available
    bool receive(std::vector<std::uint8_t>& message);

    /// Queues a message without blocking. A message that cannot be queued is dropped and counted.
    /// @param address "ip:port" of the receiver's control listener
    void send(std::string_view address, std::span<const std::uint8_t> message);

    /// Closes the connection to an address, so that the next message opens a new one. Used when a peer does
    /// not reply: the connection may be dead without an error while a new one would work.
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
