#include "laburnumreach/daemon/message_headers.hpp"

#include <algorithm>
#include <charconv>

namespace laburnumreach::daemon
{

namespace
{

constexpr std::string_view own_prefix = "laburnum-";

bool is_own_header(std::string_view name)
{
    return name.size() >= own_prefix.size() &&
           http::equal_ignoring_case(name.substr(0, own_prefix.size()), own_prefix);
}

} // namespace

http::headers upstream_headers(const call_context& call, const http::headers& fields, std::string_view handle,
                               core::time_point now)
{
    http::headers result = fields;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now).count();
    result.emplace(call_header_name, handle);
    result.emplace(request_id_header_name, call.request_id);
    result.emplace("Laburnum-Deadline-Ms", std::to_string(std::max<std::int64_t>(remaining, 0)));
    result.emplace("Laburnum-Tenant", call.tenant);
    result.emplace("Laburnum-Priority", core::to_string(call.position.cls));
    return result;
}

void remove_own_headers(http::headers& fields)
{
    std::erase_if(fields, [](const auto& field) { return is_own_header(field.first); });
}

core::reason take_reported_reason(http::headers& fields)
{
    const auto reported = core::parse_reason(http::find_header(fields, reason_header_name));
    remove_own_headers(fields);
    return reported.value_or(core::reason::none);
}

std::optional<core::verdict> read_verdict(const http::headers& fields)
{
    const auto result = core::parse_outcome(http::find_header(fields, verdict_header_name));
    const auto why = core::parse_reason(http::find_header(fields, reason_header_name));
    if (!result || !why)
    {
        return std::nullopt;
    }
    core::verdict verdict{.result = *result, .why = *why};
    const std::string_view advice = http::find_header(fields, "Retry-After");
    std::int64_t seconds = 0;
    if (std::from_chars(advice.data(), advice.data() + advice.size(), seconds).ec == std::errc{})
    {
        verdict.retry_after = std::chrono::seconds{seconds};
    }
    return verdict;
}

} // namespace laburnumreach::daemon
