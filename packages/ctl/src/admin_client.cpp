#include "laburnumreach/ctl/admin_client.hpp"

#include "laburnumreach/http/message_head.hpp"

#include <httplib.h>

namespace laburnumreach::ctl
{

core::result<std::string> fetch_admin(const config::endpoint& daemon, const std::string& path,
                                      std::chrono::milliseconds timeout)
{
    httplib::Client client{daemon.address, daemon.port};
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_url_encode(false);
    const auto response = client.Get(path);
    if (!response)
    {
        return core::make_error(core::error_code::unavailable,
                                config::to_string(daemon) +
                                    " did not answer: " + httplib::to_string(response.error()));
    }
    if (!http::has_definite_end(response->status, response->headers))
    {
        return core::make_error(core::error_code::unavailable,
                                config::to_string(daemon) + " sent a malformed response");
    }
    if (response->status == 404)
    {
        return core::make_error(core::error_code::not_found,
                                config::to_string(daemon) + " has no such entry");
    }
    if (response->status != 200)
    {
        return core::make_error(core::error_code::unavailable, config::to_string(daemon) +
                                                                   " answered with status " +
                                                                   std::to_string(response->status));
    }
    return response->body;
}

} // namespace laburnumreach::ctl
