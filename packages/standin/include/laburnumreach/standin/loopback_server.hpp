#ifndef LABURNUMREACH_STANDIN_LOOPBACK_SERVER_HPP
#define LABURNUMREACH_STANDIN_LOOPBACK_SERVER_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/core/posix_thread.hpp"
#include "laburnumreach/standin/connection.hpp"
#include "laburnumreach/standin/loopback_address.hpp"
#include "laburnumreach/standin/worker_pool.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace laburnumreach::standin
{

/// Settings of a loopback_server.
struct loopback_server_options
{
    loopback_address listen{}; ///< Port 0 picks any free port.
    /// One thread serves one open connection.
    std::size_t most_connections = 400;
};

/// HTTP server on a loopback address with one handler for all requests.
///
/// cpp-httplib parses and writes the messages. The accept loop is our own, because the one of cpp-httplib
/// has a backlog of 5 and can neither refuse connections for a while nor expose a connection to its handler.
class loopback_server : private httplib::Server
{
public:
    /// Handles one request. The path is decoded; the request keeps target, headers, parameters and body.
    using request_handler = std::function<void(const httplib::Request& request, const std::string& path,
                                               httplib::Response& response, connection& caller)>;

    loopback_server(const loopback_server_options& options, request_handler handle_request);
    loopback_server(const loopback_server&) = delete;
    loopback_server& operator=(const loopback_server&) = delete;
    ~loopback_server() override;

    /// Sets a function that runs before the body of a request is read. Call it before start.
    void set_before_body(std::function<void(const std::string& path, connection& caller)> hook)
    {
        this->before_body = std::move(hook);
    }

    /// Binds the address and starts to accept.
    core::result<void> start();

    /// Closes all connections and waits for all handlers to return.
    void stop_serving();

    /// Returns the bound port.
    std::uint16_t port() const { return this->address.port; }

    /// Closes the listening socket so that new connections are refused by the system, or opens it again.
    core::result<void> refuse_connections(bool refuse);

    /// Makes all open connections silent, except one.
    void silence_open_connections(const connection* spared);

    /// Makes each new connection silent while switched on.
    void silence_new_connections(bool silence) { this->silence_new = silence; }

private:
    core::result<int> open_listener();
    void accept_loop();
    void accept_from(int listener_descriptor);
    void serve(connection& caller);
    void prepare(httplib::Request& request, connection& caller) const;

    loopback_address address;
    request_handler handler;
    std::function<void(const std::string& path, connection& caller)> before_body;
    std::atomic<bool> stopping = false;
    std::atomic<bool> silence_new = false;
    std::mutex mutex;
    std::set<connection*> connections;
    int listener = -1;
    int wake_descriptor = -1;
    worker_pool workers;
    core::posix_thread acceptor;
};

} // namespace laburnumreach::standin

#endif
