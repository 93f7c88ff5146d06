#include "laburnumreach/standin/controlled_server.hpp"

#include <utility>

namespace laburnumreach::standin
{

namespace
{

constexpr std::size_t most_control_connections = 16;

} // namespace

controlled_server::controlled_server(const controlled_server_options& options,
                                     loopback_server::request_handler handler, control_handler control)
    : handle_control(std::move(control)),
      server({.listen = options.listen, .most_connections = options.most_connections},
             [this, handle = std::move(handler)](const httplib::Request& request, const std::string& path,
                                                 httplib::Response& response, connection& caller)
             {
                 if (is_control(path))
                 {
                     this->handle_control(request, path, response, &caller);
                     return;
                 }
                 handle(request, path, response, caller);
             })
{
    if (options.control_port)
    {
        this->control_server = std::make_unique<loopback_server>(
            loopback_server_options{.listen = {.ip = options.listen.ip, .port = *options.control_port},
                                    .most_connections = most_control_connections},
            [this](const httplib::Request& request, const std::string& path, httplib::Response& response,
                   connection&) { this->handle_control(request, path, response, nullptr); });
    }
}

core::result<void> controlled_server::start()
{
    const core::result<void> started =
        this->control_server ? this->control_server->start() : core::result<void>{};
    return started.and_then([this] { return this->server.start(); });
}

void controlled_server::stop()
{
    this->server.stop_serving();
    if (this->control_server)
    {
        this->control_server->stop_serving();
    }
}

std::string controlled_server::ready_line() const
{
    std::string line = "ready port=" + std::to_string(this->server.port());
    if (this->control_server)
    {
        line += " control_port=" + std::to_string(this->control_server->port());
    }
    return line;
}

} // namespace laburnumreach::standin
