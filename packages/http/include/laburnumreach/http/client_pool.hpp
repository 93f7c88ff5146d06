#ifndef LABURNUMREACH_HTTP_CLIENT_POOL_HPP
#define LABURNUMREACH_HTTP_CLIENT_POOL_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/http/cancellation.hpp"
#include "laburnumreach/http/client_pool_options.hpp"
#include "laburnumreach/http/endpoint.hpp"
#include "laburnumreach/http/exchange_result.hpp"
#include "laburnumreach/http/outgoing_request.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace laburnumreach::http
{

/// Forwards requests over pooled keep-alive connections. Thread safe; an exchange runs in the calling thread.
///
/// A connection returns to the pool only after a complete response that no further bytes follow, so a late or
/// duplicate response is discarded with its connection and is never delivered to another request. Redirects
/// are returned, not followed.
///
/// cpp-httplib's ClientImpl is not used: it does not report whether the first byte was written, decodes %XX
/// in response headers (which turns %0d%0a into a line break), and matches the status line with a recursive
/// regular expression that overflows small stacks.
class client_pool
{
public:
    explicit client_pool(const client_pool_options& options);
    client_pool(const client_pool&) = delete;
    client_pool& operator=(const client_pool&) = delete;
    ~client_pool();

    /// Sends a request and reads the response. If a pooled connection turns out to be closed before any byte
    /// was written, another connection is tried; a request of which a byte was written is never resent.
    /// @param control lets another thread cancel the exchange; may be null
    exchange_result send(const endpoint& destination, const outgoing_request& request,
                         cancellation* control = nullptr);

    /// Opens a new connection regardless of the pooled ones, and adds it to the pool.
    /// @returns whether the connection was established within the timeout
    bool probe(const endpoint& destination, std::chrono::milliseconds timeout);

    /// Closes the idle connections to a destination, for example after it stopped responding.
    void close_idle(const endpoint& destination);

    /// Closes idle connections that timed out or that the peer closed. Call it about once a second.
    void close_expired(core::time_point now);

    /// Returns the number of idle connections to all destinations.
    std::size_t idle_count() const;

    /// Returns how many pooled connections were discarded because they were closed or had unexpected bytes.
    std::uint64_t stale_count() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace laburnumreach::http

#endif
