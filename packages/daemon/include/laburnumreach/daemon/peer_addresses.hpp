#ifndef LABURNUMREACH_DAEMON_PEER_ADDRESSES_HPP
#define LABURNUMREACH_DAEMON_PEER_ADDRESSES_HPP

#include "laburnumreach/http/endpoint.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumreach::daemon
{

/// Addresses of the listeners for calls of other daemons, by daemon id. Thread safe.
class peer_addresses
{
public:
    void replace(std::map<std::string, http::endpoint, std::less<>> addresses)
    {
        const std::lock_guard lock{this->mutex};
        this->by_daemon = std::move(addresses);
    }

    std::optional<http::endpoint> find(std::string_view daemon) const
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->by_daemon.find(daemon);
        return found == this->by_daemon.end() ? std::nullopt : std::optional{found->second};
    }

private:
    mutable std::mutex mutex;
    std::map<std::string, http::endpoint, std::less<>> by_daemon;
};

} // namespace laburnumreach::daemon

#endif
