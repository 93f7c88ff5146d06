#ifndef LABURNUMREACH_SIDECAR_EXCHANGE_HPP
#define LABURNUMREACH_SIDECAR_EXCHANGE_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/http/message_head.hpp"
#include "laburnumreach/sidecar/memory_reservation.hpp"

#include <cassert>
#include <functional>
#include <string>

namespace laburnumreach::sidecar
{

/// An HTTP response to a caller.
struct http_response
{
    int status = 500;
    std::string fields; ///< Serialized header fields, without framing and connection fields.
    std::string body;
    bool close = false; ///< Whether the connection is closed after this response.
};

/// One HTTP request of a caller and its response.
class exchange
{
public:
    http::request_head head;
    std::string body;
    core::time_point received{};    ///< Time at which the request was completely received.
    memory_reservation head_memory; ///< For the head, then for the response.
    memory_reservation body_memory; ///< For the body of the request.

    /// Sets the response and passes it to the connection. Later calls have no effect.
    void respond(http_response response)
    {
        if (this->is_done)
        {
            return;
        }
        this->is_done = true;
        this->final_response = std::move(response);
        this->on_cancelled = nullptr;
        if (this->on_completed)
        {
            std::exchange(this->on_completed, nullptr)();
        }
    }

    /// Reports that the caller disconnected. Has no effect after the response.
    void cancel()
    {
        if (this->is_done)
        {
            return;
        }
        this->is_done = true;
        this->on_completed = nullptr;
        if (this->on_cancelled)
        {
            std::exchange(this->on_cancelled, nullptr)();
        }
    }

    bool done() const noexcept { return this->is_done; }
    http_response& response() noexcept { return this->final_response; }

    std::function<void()> on_cancelled; ///< Set by the request handler.
    std::function<void()> on_completed; ///< Set by the connection.

private:
    bool is_done = false;
    http_response final_response;
};

} // namespace laburnumreach::sidecar

#endif
