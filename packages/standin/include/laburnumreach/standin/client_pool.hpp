#ifndef LABURNUMREACH_STANDIN_CLIENT_POOL_HPP
#define LABURNUMREACH_STANDIN_CLIENT_POOL_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/standin/connection.hpp"
#include "laburnumreach/standin/local_client.hpp"
#include "laburnumreach/standin/loopback_address.hpp"

#include <httplib.h>
#include <memory>
#include <mutex>
#include <vector>

namespace laburnumreach::standin
{

/// Keep-alive connections to one address, as many as there are calls at the same time. Thread safe.
class client_pool
{
public:
    explicit client_pool(loopback_address target);

    /// Sends a request on the connection that was used last and waits for the whole answer.
    /// @see local_client::call
    local_client::failure call(httplib::Request& request, httplib::Response& response, core::duration timeout,
                               const connection* on_behalf_of = nullptr);

private:
    const loopback_address address;
    std::mutex mutex;
    std::vector<std::unique_ptr<local_client>> idle;
};

} // namespace laburnumreach::standin

#endif
