#ifndef LABURNUMREACH_SIDECAR_TEST_BINDINGS_HPP
#define LABURNUMREACH_SIDECAR_TEST_BINDINGS_HPP

#include "laburnumreach/sidecar/platform_bindings.hpp"
#include "test_names.hpp"

#include <sstream>

namespace laburnumreach::sidecar
{

/// Decodes "/beat/ID/ADDRESS/START/SEQUENCE/STATE" and "/leave/ID".
inline announcement decode_test_announcement(std::string_view /*method*/, std::string_view target,
                                             std::string_view /*body*/)
{
    std::istringstream parts{std::string{target}};
    std::string part;
    std::vector<std::string> words;
    while (std::getline(parts, part, '/'))
    {
        words.push_back(part);
    }
    if (words.size() == 3 && words[1] == "leave")
    {
        return instance_deregistration{words[2]};
    }
    if (words.size() != 7 || words[1] != "beat")
    {
        return invalid_announcement{"unknown"};
    }
    return instance_heartbeat{.id = words[2],
                              .address = words[3],
                              .service = "s",
                              .slots = 10,
                              .draining = words[6] == "draining",
                              .sequence = std::stoull(words[5]),
                              .started_ms = std::stoull(words[4])};
}

/// Bindings for tests with whole daemons. Every configuration has one route for service "s", of requests that
/// may not run twice.
inline platform_bindings test_bindings()
{
    using namespace std::chrono_literals;
    return {.headers = test_names(),
            .decode_config =
                [](const std::string& document) -> core::result<std::shared_ptr<const routing_config>>
            {
                routing_config::contents parts{.version = std::stoull(document)};
                parts.hosts.push_back({.host = "h",
                                       .routes = {{.name = "r",
                                                   .path_prefix = "/",
                                                   .max_instances = 2,
                                                   .timeout = 20s,
                                                   .latency_objective = 1s,
                                                   .destinations = {{.service = "s"}}}}});
                parts.health_paths["s"] = "/health";
                return std::make_shared<const routing_config>(std::move(parts));
            },
            .decode_announcement = decode_test_announcement};
}

} // namespace laburnumreach::sidecar

#endif
