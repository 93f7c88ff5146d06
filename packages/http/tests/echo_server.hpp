#ifndef LABURNUMREACH_HTTP_TESTS_ECHO_SERVER_HPP
#define LABURNUMREACH_HTTP_TESTS_ECHO_SERVER_HPP

#include "laburnumreach/http/server.hpp"

#include <array>
#include <stdexcept>
#include <string>
#include <utility>

namespace laburnumreach::http
{

/// Reads the body until its end or an error.
/// @returns the final status
inline body_status read_whole_body(incoming_request& request, std::string& body)
{
    std::array<char, 4096> buffer;
    for (;;)
    {
        const body_chunk chunk = request.read_body(buffer);
        if (chunk.status != body_status::data)
        {
            return chunk.status;
        }
        body.append(buffer.data(), chunk.size);
    }
}

/// Responds with the method, target and body of the request.
inline void echo(incoming_request& request, response& answer)
{
    std::string body;
    const body_status status = read_whole_body(request, body);
    answer.status = status == body_status::end ? 200 : 400;
    answer.body = request.head().method + " " + request.head().target + " " + body;
}

/// Starts a server on a free port or throws.
inline std::unique_ptr<server> start_server(const server_options& options, request_handler handler = echo)
{
    auto started = server::start(options, std::move(handler));
    if (!started)
    {
        throw std::runtime_error{started.error().message};
    }
    return std::move(*started);
}

} // namespace laburnumreach::http

#endif
