#ifndef LABURNUMREACH_CONFIG_TESTS_SAMPLE_CONFIGURATION_HPP
#define LABURNUMREACH_CONFIG_TESTS_SAMPLE_CONFIGURATION_HPP

#include <string_view>

namespace laburnumreach::config
{

/// A valid fleet configuration with every kind of entry.
inline constexpr std::string_view sample_configuration = R"(zones = ["a", "b", "c"]
drained_instances = ["tally-3"]

[[service]]
name = "tally"
depends_on = ["sheets"]

[[service]]
name = "sheets"

[[route]]
service = "tally"
name = "page"
method = "GET"
path = "/pages/"
priority = "normal"
idempotent = true
open = true
tenants = []
timeout_ms = 2000
attempts = 3
max_body_bytes = 1048576
calls = ["sheets"]

[[route]]
service = "tally"
name = "fireball"
method = "POST"
path = "/pages/alerts/"
priority = "critical_fast"
tenants = ["serra"]

[[route]]
service = "tally"
name = "rest"
path = "/"
priority = "bulk"
open = true

[[tenant]]
name = "serra"
rate = 100.0
burst = 200.0
weight = 1.5

[[tenant.key]]
id = "2026-08"
sha256 = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"

[[tenant]]
name = "monte"
rate = 20
burst = 40
)";

} // namespace laburnumreach::config

#endif
