#ifndef LABURNUMREACH_HTTP_REQUEST_VIEW_HPP
#define LABURNUMREACH_HTTP_REQUEST_VIEW_HPP

#include "laburnumreach/http/body_decoder.hpp"
#include "laburnumreach/http/incoming_request.hpp"
#include "laburnumreach/http/server_options.hpp"
#include "server_connection.hpp"

namespace laburnumreach::http
{

/// The request that a worker serves; reads its body from the connection.
class request_view final : public incoming_request
{
public:
    request_view(server_connection& source, request_head parsed, const server_options& settings);

    const request_head& head() const noexcept override { return this->parsed_head; }
    const std::string& peer_address() const noexcept override { return this->connection.peer_address; }
    body_chunk read_body(std::span<char> buffer) override;
    bool caller_gone() const noexcept override { return this->connection.socket.peer_closed(); }
    int descriptor() const noexcept override { return this->connection.socket.descriptor(); }

    /// Returns whether the whole body was read, so that the next byte begins a new request.
    bool body_finished() const noexcept { return this->decoder.status() == body_decoder::state::done; }

    /// Returns whether the chunk framing is invalid.
    bool body_malformed() const noexcept { return this->decoder.status() == body_decoder::state::malformed; }

private:
    bool send_continue();

    server_connection& connection;
    request_head parsed_head;
    const server_options& options;
    body_decoder decoder;
    bool continue_pending;
};

} // namespace laburnumreach::http

#endif
