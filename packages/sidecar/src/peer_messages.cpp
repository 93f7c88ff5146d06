#include "laburnumreach/sidecar/peer_messages.hpp"

#include "laburnumreach/config/endpoint.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

namespace
{

/// Largest rate or number of tokens that is not taken for an error of the sender.
constexpr double max_amount = 1e9;

/// Returns whether a number is between zero and a maximum; false for NaN.
bool is_amount(double number, double maximum)
{
    return number >= 0 && number <= maximum;
}

} // namespace

bool is_valid(const member_record& record)
{
    constexpr std::size_t max_id_bytes = 255;
    return !record.daemon_id.empty() && record.daemon_id.size() <= max_id_bytes && record.peer_port != 0 &&
           config::is_ip_address(record.address);
}

bool is_valid(const probe_message& message)
{
    const auto report_is_valid = [](const demand_report& report)
    {
        return std::all_of(report.customers.begin(), report.customers.end(),
                           [](const customer_demand& demand)
                           { return is_amount(demand.rate, max_amount); }) &&
               std::all_of(report.routes.begin(), report.routes.end(),
                           [](const route_demand& demand) { return is_amount(demand.rate, max_amount); });
    };
    return std::all_of(message.demand.begin(), message.demand.end(), report_is_valid) &&
           std::all_of(message.tokens.begin(), message.tokens.end(),
                       [](const customer_tokens& entry) { return is_amount(entry.tokens, max_amount); });
}

bool is_valid(const probe_reply_message& message)
{
    return std::all_of(message.ratios.begin(), message.ratios.end(),
                       [](const call_ratio& entry)
                       { return is_amount(entry.calls_per_run, max_calls_per_run); });
}

bool is_valid(const departures_message& message)
{
    const auto list_is_valid = [](const std::vector<instance_departure>& departures)
    {
        return departures.size() <= max_departures &&
               std::all_of(departures.begin(), departures.end(),
                           [](const instance_departure& entry) { return is_valid(entry); });
    };
    return list_is_valid(message.announced) && list_is_valid(message.remembered) &&
           message.withdrawn.size() <= max_departures;
}

bool is_valid(const token_request_message& message)
{
    return is_amount(message.urgency, 1.0);
}

} // namespace laburnumreach::sidecar
