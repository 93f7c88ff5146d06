#ifndef LABURNUMREACH_STANDIN_LOCAL_CLIENT_HPP
#define LABURNUMREACH_STANDIN_LOCAL_CLIENT_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/standin/connection.hpp"
#include "laburnumreach/standin/loopback_address.hpp"

#include <httplib.h>

namespace laburnumreach::standin
{

/// HTTP client with one keep-alive connection, a deadline for the whole call and cancellation.
///
/// cpp-httplib bounds only each single read. A call also fails when the other side sent more bytes than the
/// answer has, because they would be taken for the next answer.
class local_client : public httplib::ClientImpl
{
public:
    /// Why the last call ended without an answer.
    enum class failure : std::uint8_t
    {
        none,
        timeout,
        caller_gone,  ///< The caller for whom the call was made has closed its connection.
        connect,      ///< No connection, so nothing was sent.
        excess_bytes, ///< More bytes than the answer declares.
        broken,       ///< Closed or unreadable answer.
    };

    explicit local_client(const loopback_address& target);

    /// Sends a request and waits for the whole answer.
    /// @param timeout for the whole call
    /// @param on_behalf_of the call is given up when this connection closes; may be null
    /// @returns failure::none with the response filled in, or the cause
    failure call(httplib::Request& request, httplib::Response& response, core::duration timeout,
                 const connection* on_behalf_of = nullptr);

private:
    bool process_socket(const Socket& open, std::function<bool(httplib::Stream&)> callback) override;

    core::time_point deadline;
    const connection* caller = nullptr;
    failure cause = failure::none;
};

} // namespace laburnumreach::standin

#endif
