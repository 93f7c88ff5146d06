#include "laburnumreach/standin/upstream_records.hpp"

#include "laburnumreach/standin/local_client.hpp"

#include <nlohmann/json.hpp>

namespace laburnumreach::standin
{

namespace
{

/// A record of a million entries takes some seconds to write and read.
constexpr std::chrono::seconds control_timeout{60};

/// @returns the response, or no value when there was none
std::optional<httplib::Response> control(const loopback_address& upstream, const std::string& method,
                                         const std::string& path, const std::string& body)
{
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    httplib::Response response;
    local_client client{upstream};
    if (client.call(request, response, control_timeout) != local_client::failure::none)
    {
        return std::nullopt;
    }
    return response;
}

} // namespace

core::result<void> reset_upstream_records(const load_scenario& scenario)
{
    nlohmann::json keys = nlohmann::json::array();
    for (const load_scenario::tenant& tenant : scenario.tenants)
    {
        keys.push_back(tenant.key);
    }
    for (const loopback_address& upstream : scenario.upstreams)
    {
        const auto forbidden = control(upstream, "POST", "/control/forbidden", keys.dump());
        const auto reset = control(upstream, "POST", "/control/reset", "");
        if (!forbidden || forbidden->status != 204 || !reset || reset->status != 204)
        {
            return core::make_error(core::error_code::unavailable, "no upstream stand-in answers at " +
                                                                       upstream.ip + ":" +
                                                                       std::to_string(upstream.port));
        }
    }
    return {};
}

std::vector<std::optional<std::string>> read_upstream_records(const load_scenario& scenario)
{
    std::vector<std::optional<std::string>> records;
    for (const loopback_address& upstream : scenario.upstreams)
    {
        std::optional<httplib::Response> response = control(upstream, "GET", "/control/record", "");
        const bool answered = response && response->status == 200;
        records.push_back(answered ? std::optional{std::move(response->body)} : std::nullopt);
    }
    return records;
}

} // namespace laburnumreach::standin
