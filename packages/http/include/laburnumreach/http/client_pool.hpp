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
/// A connection goes back to the pool only after a whole response with nothing behind it, so a late or
/// doubled response is closed with its connection and reaches no other request. Redirects are returned, not
/// followed.
///
/// The library's ClientImpl is not used. It cannot tell whether the first byte was written, decodes %XX in
/// response headers (which turns %0d%0a into a line break), and matches the status line with a recursive
/// regular expression that overflows small stacks.
class client_pool
{
public:
    explicit client_pool(const client_pool_options& options);
    client_pool(const client_pool&) = delete;
    client_pool& operator=(const client_pool&) = delete;
    ~client_pool();

    /// Sends a request and reads the response. A pooled connection that turns out to be closed before a byte
    /// was written is replaced by another one; nothing is ever sent twice.
    /// @param control allows another thread to end the exchange; may be null
    exchange_result send(const endpoint& destination, const outgoing_request& request,
                         cancellation* control = nullptr);

    /// Opens a fresh connection beside the pooled ones and keeps it for the next request.
    /// @returns whether the destination accepted it in time
    bool probe(const endpoint& destination, std::chrono::milliseconds timeout);

    /// Closes the idle connections to a destination, for example after it went silent.
    void close_idle(const endpoint& destination);

    /// Closes idle connections that timed out or that the peer closed. Call it about once a second.
    void close_expired(core::time_point now);

    /// Returns the number of idle connections to all destinations.
    std::size_t idle_count() const;

    /// Returns how many times a pooled connection was found closed or with stray bytes before its use.
    std::uint64_t stale_count() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace laburnumreach::http

#endif
