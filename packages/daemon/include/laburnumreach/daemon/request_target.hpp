#ifndef LABURNUMREACH_DAEMON_REQUEST_TARGET_HPP
#define LABURNUMREACH_DAEMON_REQUEST_TARGET_HPP

#include <optional>
#include <string_view>

namespace laburnumreach::daemon
{

/// Parts of a target of the form `/<service>/<path>?<query>`.
struct request_target
{
    std::string_view service;
    std::string_view path;           ///< After the service name, without query; starts with '/'.
    std::string_view path_and_query; ///< What the upstream gets.
};

/// Splits a target.
/// @returns no value when there is no service name, or when the path has dot segments or encoded slashes,
/// which the upstream could resolve to another route than the one that was checked
std::optional<request_target> split_target(std::string_view target);

} // namespace laburnumreach::daemon

#endif
