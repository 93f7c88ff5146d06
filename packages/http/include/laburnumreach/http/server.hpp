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

/// Answers one request. Called by worker threads at the same time. An exception gives status 500.
///
/// std::function keeps the server out of headers; one indirect call is small beside the system calls of a
/// request.
using request_handler = std::function<void(incoming_request& request, response& answer)>;

/// HTTP/1.1 server. Idle connections are parked in epoll, and a bounded pool of workers takes them up when
/// they become readable.
///
/// One thread accepts connections and closes those that time out, so that callers over the limit are refused
/// even when all workers are busy. The library's own accept loop is not used: it ends for good on the first
/// failed accept, and it hands each connection over to a further thread.
class server
{
public:
    /// Binds the port, starts the threads and serves.
    /// @returns error_code::unavailable when the address cannot be bound, for example because another server
    /// listens on it
    static core::result<std::unique_ptr<server>> start(const server_options& options,
                                                       request_handler handler);

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Calls stop().
    ~server();

    /// Returns the bound port.
    std::uint16_t port() const noexcept;

    /// Returns the live counters.
    const server_counters& counters() const noexcept;

    /// Starts a graceful stop: closes the listener and idle connections; further responses carry
    /// Connection: close. May be called from any thread and more than once.
    void begin_drain();

    /// Waits until no connection is open. Call begin_drain first.
    /// @returns whether that was so before the deadline
    bool wait_until_idle(core::time_point deadline);

    /// Closes all connections and joins the threads. Running handlers see a gone caller and failing reads;
    /// this call waits until they return.
    void stop();

private:
    class implementation;
    explicit server(std::unique_ptr<implementation> state);

    std::unique_ptr<implementation> state;
};

} // namespace laburnumreach::http

#endif
