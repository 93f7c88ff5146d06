#include "laburnumreach/standin/client_pool.hpp"

#include <utility>

namespace laburnumreach::standin
{

client_pool::client_pool(loopback_address target) : address(std::move(target)) {}

local_client::failure client_pool::call(httplib::Request& request, httplib::Response& response,
                                        core::duration timeout, const connection* on_behalf_of)
{
    std::unique_ptr<local_client> client;
    {
        const std::lock_guard lock{this->mutex};
        if (!this->idle.empty())
        {
            client = std::move(this->idle.back());
            this->idle.pop_back();
        }
    }
    if (!client)
    {
        client = std::make_unique<local_client>(this->address);
    }
    const local_client::failure failure = client->call(request, response, timeout, on_behalf_of);
    const std::lock_guard lock{this->mutex};
    this->idle.push_back(std::move(client));
    return failure;
}

} // namespace laburnumreach::standin
