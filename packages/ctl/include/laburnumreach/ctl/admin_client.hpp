#ifndef LABURNUMREACH_CTL_ADMIN_CLIENT_HPP
#define LABURNUMREACH_CTL_ADMIN_CLIENT_HPP

#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/core/error.hpp"

#include <chrono>
#include <functional>
#include <string>

namespace laburnumreach::ctl
{

/// Reads a path of a daemon's admin listener.
/// @returns the body, not_found after status 404, or unavailable
using admin_fetch =
    std::function<core::result<std::string>(const config::endpoint& daemon, const std::string& path)>;

/// Reads a path of a daemon's admin listener over HTTP.
core::result<std::string> fetch_admin(const config::endpoint& daemon, const std::string& path,
                                      std::chrono::milliseconds timeout);

} // namespace laburnumreach::ctl

#endif
