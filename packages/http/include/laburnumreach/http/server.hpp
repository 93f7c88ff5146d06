#ifndef LABURNUMREACH_HTTP_SERVER_HPP
#define LABURNUMREACH_HTTP_SERVER_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/http/incoming_request.hpp"
#include "laburnumreach/http/response.hpp"
#include "laburnumreach/http/server_counters.hpp"
#include "laburnumreach/http/server_options.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace laburnumreach::http
{

/// Handles one request. Called concurrently by worker threads. An exception results in status 500.
///
/// std::function lets the implementation stay out of the header; one indirect call costs little compared with
/// the system calls of a request.
using request_handler = std::function<void(incoming_request& request, response& answer)>;

/// HTTP/1.1 server. Idle connections wait in epoll; a fixed pool of worker threads serves those that become
/// readable.
///
/// One thread accepts connections and closes those that time out, so that callers over the connection limit
/// are refused even when all workers are busy. cpp-httplib's accept loop is not used: it terminates at the
/// first failed accept, and it passes each connection to another thread.
class server
{
public:
    /// Binds the port and starts the threads.
    /// @returns the running server, or one of these errors:
    /// error_code::unavailable when the address cannot be bound (for example because another server listens
    /// on it) or descriptors or threads run out; error_code::io when listen() fails
    static core::result<std::unique_ptr<server>> start(const server_options& options,
                                                       request_handler handler);

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Calls stop().
    ~server();

    /// Returns the bound port.
    std::uint16_t port() const noexcept;

    /// Returns the counters, which the server keeps updating.
    const server_counters& counters() const noexcept;

    /// Starts a graceful stop: closes the listener and idle connections; further responses carry
    /// Connection: close. May be called from any thread and more than once.
    void begin_drain();

    /// Waits until no connection is open. Call begin_drain first.
    /// @returns false when the deadline passed first
    bool wait_until_idle(core::time_point deadline);

    /// Closes all connections and joins the threads. To running handlers the caller appears disconnected and
    /// reads fail; this call waits until they return.
    void stop();

private:
    class implementation;
    explicit server(std::unique_ptr<implementation> state);

    std::unique_ptr<implementation> state;
};

} // namespace laburnumreach::http

#endif
