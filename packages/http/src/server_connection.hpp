#ifndef LABURNUMREACH_HTTP_SERVER_CONNECTION_HPP
#define LABURNUMREACH_HTTP_SERVER_CONNECTION_HPP

#include "laburnumreach/core/time.hpp"
#include "tcp_socket.hpp"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace laburnumreach::http
{

/// State of a connection; decides which thread may use it.
enum class connection_phase : std::uint8_t
{
    free,
    idle,      ///< Parked between requests.
    partial,   ///< Parked with an incomplete head.
    lingering, ///< Parked after the last response; further bytes are discarded.
    busy,      ///< Owned by one thread.
};

/// One slot of the connection_table.
struct server_connection
{
    /// Guards phase, generation, and opening and closing of the socket. The other members belong to the
    /// thread that made the connection busy, and to the holder of the lock while it is not busy.
    std::mutex mutex;
    connection_phase phase = connection_phase::free;
    std::uint32_t generation = 0;     ///< Counts the uses of the slot; identifies events of earlier uses.
    core::time_point wait_started_at; ///< When the wait of the current phase began.
    tcp_socket socket;

    std::uint32_t index = 0;
    std::string peer_address;
    std::string input;       ///< Received bytes that are not consumed yet.
    std::size_t scanned = 0; ///< Bytes of input already searched for the end of a head.
    bool last_response_sent = false;
    std::size_t discarded = 0; ///< Bytes received after the last response.
};

} // namespace laburnumreach::http

#endif
