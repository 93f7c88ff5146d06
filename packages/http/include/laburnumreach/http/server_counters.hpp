#ifndef LABURNUMREACH_HTTP_SERVER_COUNTERS_HPP
#define LABURNUMREACH_HTTP_SERVER_COUNTERS_HPP

#include "laburnumreach/http/message_error.hpp"

#include <array>
#include <atomic>
#include <cstdint>

namespace laburnumreach::http
{

/// Counters since the start of a server, and two gauges.
struct server_counters
{
    std::atomic<std::uint64_t> accepted{0};            ///< Connections.
    std::atomic<std::uint64_t> refused_connections{0}; ///< Connections over max_connections.
    std::atomic<std::uint64_t> requests{0};            ///< Requests given to the handler.
    std::atomic<std::uint64_t> handler_failures{0};    ///< Handlers that threw.
    std::atomic<std::uint64_t> idle_closed{0};    ///< Connections closed by a timeout before a complete head.
    std::atomic<std::uint64_t> write_failures{0}; ///< Responses that could not be written completely.
    std::array<std::atomic<std::uint64_t>, message_error_count> errors{}; ///< Rejected requests by error.
    std::atomic<std::uint64_t> busy_workers{0};                           ///< Gauge.
    std::atomic<std::uint64_t> open_connections{0};                       ///< Gauge.

    /// Returns the number of requests rejected because of this error.
    std::uint64_t error_count(message_error error) const noexcept
    {
        return this->errors[static_cast<std::size_t>(error)].load(std::memory_order_relaxed);
    }
};

} // namespace laburnumreach::http

#endif
