#ifndef LABURNUMREACH_STANDIN_UPSTREAM_RECORDS_HPP
#define LABURNUMREACH_STANDIN_UPSTREAM_RECORDS_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/standin/load_scenario.hpp"

#include <optional>
#include <string>
#include <vector>

namespace laburnumreach::standin
{

/// Clears the records of all upstreams of a scenario and makes them look for the tenants' keys.
/// @returns unavailable when an upstream did not answer
core::result<void> reset_upstream_records(const load_scenario& scenario);

/// Reads the records of all upstreams of a scenario.
/// @returns one entry for each; no value where it could not be read
std::vector<std::optional<std::string>> read_upstream_records(const load_scenario& scenario);

} // namespace laburnumreach::standin

#endif
