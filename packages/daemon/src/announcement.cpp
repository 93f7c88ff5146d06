#include "laburnumreach/daemon/announcement.hpp"

#include "laburnumreach/config/endpoint.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace laburnumreach::daemon
{

namespace
{

constexpr std::uint32_t max_slots = 100'000;
constexpr std::size_t max_name_bytes = 64;

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_bytes;
}

core::result<announcement> check(announcement value, const std::string& state)
{
    const auto refuse = [](const char* reason)
    { return core::make_error(core::error_code::invalid_argument, reason); };
    if (!is_name(value.service) || !is_name(value.instance) || !is_name(value.zone))
    {
        return refuse("service, instance and zone must have 1 to 64 characters");
    }
    if (!config::is_ip_address(value.address.address) || value.address.port == 0)
    {
        return refuse("address must be an IP number and port a port number");
    }
    if (value.slots == 0 || value.slots > max_slots)
    {
        return refuse("slots must be between 1 and 100000");
    }
    if (state != "ready" && state != "draining")
    {
        return refuse("state must be ready or draining");
    }
    if (!std::isfinite(value.load))
    {
        return refuse("load must be a finite number");
    }
    value.draining = state == "draining";
    return value;
}

} // namespace

core::result<announcement> parse_announcement(std::string_view body)
{
    try
    {
        const nlohmann::json json = nlohmann::json::parse(body);
        announcement value;
        value.service = json.at("service").get<std::string>();
        value.instance = json.at("instance").get<std::string>();
        value.address.address = json.at("address").get<std::string>();
        const auto port = json.at("port").get<std::int64_t>();
        value.address.port = port > 0 && port < 65536 ? static_cast<std::uint16_t>(port) : 0;
        const auto slots = json.at("slots").get<std::int64_t>();
        value.slots = slots > 0 && slots <= max_slots ? static_cast<std::uint32_t>(slots) : 0;
        value.zone = json.at("zone").get<std::string>();
        value.load = json.value("load", 0.0);
        return check(std::move(value), json.at("state").get<std::string>());
    }
    catch (const nlohmann::json::exception& fault)
    {
        return core::make_error(core::error_code::invalid_argument, fault.what());
    }
}

} // namespace laburnumreach::daemon
