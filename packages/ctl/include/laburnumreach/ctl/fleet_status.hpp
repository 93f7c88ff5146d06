#ifndef LABURNUMREACH_CTL_FLEET_STATUS_HPP
#define LABURNUMREACH_CTL_FLEET_STATUS_HPP

#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/ctl/admin_client.hpp"
#include "laburnumreach/ctl/report.hpp"
#include "laburnumreach/platform/object_store.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::ctl
{

/// Adds the zone records to a report, or why they cannot be read.
void add_zones(report& target, const core::result<std::vector<platform::object>>& records);

/// Asks daemons for /status and adds one row for each. The columns are the plain values of the answers, so a
/// daemon may add values without a change here. A daemon that does not answer gets a row that says so.
void add_daemons(report& target, std::span<const config::endpoint> daemons, const admin_fetch& fetch);

/// Explains a reason by name, or asks a daemon about a request.
/// @param daemon needed only for a request id
report explain(std::string_view subject, const std::optional<config::endpoint>& daemon,
               const admin_fetch& fetch);

} // namespace laburnumreach::ctl

#endif
