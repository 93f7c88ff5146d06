#ifndef LABURNUMREACH_STANDIN_CONTROLLED_SERVER_HPP
#define LABURNUMREACH_STANDIN_CONTROLLED_SERVER_HPP

#include "laburnumreach/standin/loopback_server.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <httplib.h>
#include <memory>
#include <optional>
#include <string>

namespace laburnumreach::standin
{

/// Where a stand-in listens.
struct controlled_server_options
{
    loopback_address listen{}; ///< Port 0 picks any free port.
    /// Port of a second listener for /control, which still answers while connections are refused.
    std::optional<std::uint16_t> control_port{};
    std::size_t most_connections = 400; ///< One thread each.
};

/// The server of a stand-in: paths below /control/ go to one handler, all others to another.
class controlled_server
{
public:
    /// Handles a control request.
    /// @param caller connection of the main listener, or null for one of the control listener
    using control_handler = std::function<void(const httplib::Request& request, const std::string& path,
                                               httplib::Response& response, const connection* caller)>;

    controlled_server(const controlled_server_options& options, loopback_server::request_handler handler,
                      control_handler control);

    /// Starts to listen.
    core::result<void> start();

    /// Closes all connections and waits for all handlers to return.
    void stop();

    /// Returns the main listener.
    loopback_server& main() { return this->server; }
    const loopback_server& main() const { return this->server; }

    /// Returns the line that tells the ports: "ready port=<n>[ control_port=<n>]".
    std::string ready_line() const;

    /// Returns whether the path belongs to the control handler.
    static bool is_control(const std::string& path) { return path.starts_with("/control/"); }

private:
    const control_handler handle_control;
    std::unique_ptr<loopback_server> control_server;
    loopback_server server;
};

} // namespace laburnumreach::standin

#endif
