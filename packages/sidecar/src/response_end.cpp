#include "laburnumreach/sidecar/response_end.hpp"

namespace laburnumreach::sidecar
{

response_state judge_response(http::body_framing::kind framing, http::body_decoder::state body,
                              receive_result connection, request_write request)
{
    if (framing != http::body_framing::kind::until_close)
    {
        if (body == http::body_decoder::state::done)
        {
            return response_state::complete;
        }
        const bool can_continue =
            body == http::body_decoder::state::reading && connection == receive_result::open;
        return can_continue ? response_state::reading : response_state::incomplete;
    }
    if (connection == receive_result::open)
    {
        return response_state::reading;
    }
    if (connection == receive_result::broken || request == request_write::failed)
    {
        return response_state::incomplete;
    }
    return request == request_write::done ? response_state::complete : response_state::undecided;
}

} // namespace laburnumreach::sidecar
