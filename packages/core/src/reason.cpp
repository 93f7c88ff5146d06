#include "laburnumreach/core/reason.hpp"

#include <algorithm>
#include <array>

namespace laburnumreach::core
{

namespace
{

struct reason_entry
{
    reason value;
    std::string_view name;
    int status;
};

constexpr std::array<reason_entry, reason_count> entries{{
    {reason::none, "none", 200},
    {reason::bad_request, "bad_request", 400},
    {reason::key_in_body, "key_in_body", 400},
    {reason::ambiguous_key, "ambiguous_key", 400},
    {reason::key_missing, "key_missing", 401},
    {reason::key_unknown, "key_unknown", 401},
    {reason::key_withdrawn, "key_withdrawn", 401},
    {reason::key_unverifiable, "key_unverifiable", 503},
    {reason::tenant_not_allowed, "tenant_not_allowed", 403},
    {reason::route_unknown, "route_unknown", 404},
    {reason::body_too_large, "body_too_large", 413},
    {reason::header_too_large, "header_too_large", 431},
    {reason::idempotency_key_missing, "idempotency_key_missing", 400},
    {reason::duplicate_in_progress, "duplicate_in_progress", 409},
    {reason::duplicate_outcome_unknown, "duplicate_outcome_unknown", 409},
    {reason::duplicate_finished, "duplicate_finished", 409},
    {reason::rate_exceeded, "rate_exceeded", 429},
    {reason::quota_unavailable, "quota_unavailable", 503},
    {reason::overloaded, "overloaded", 503},
    {reason::queue_full, "queue_full", 503},
    {reason::deadline_unmeetable, "deadline_unmeetable", 503},
    {reason::deadline_exceeded, "deadline_exceeded", 504},
    {reason::downstream_overloaded, "downstream_overloaded", 503},
    {reason::no_configuration, "no_configuration", 503},
    {reason::no_instance, "no_instance", 503},
    {reason::retry_budget_exhausted, "retry_budget_exhausted", 503},
    {reason::attempts_exhausted, "attempts_exhausted", 503},
    {reason::connect_failed, "connect_failed", 503},
    {reason::connection_lost, "connection_lost", 502},
    {reason::answer_incomplete, "answer_incomplete", 502},
    {reason::upstream_silent, "upstream_silent", 504},
    {reason::cancelled, "cancelled", 499},
    {reason::draining, "draining", 503},
    {reason::claim_store_unavailable, "claim_store_unavailable", 503},
    {reason::claim_table_full, "claim_table_full", 503},
    {reason::body_budget_exhausted, "body_budget_exhausted", 503},
    {reason::depth_exceeded, "depth_exceeded", 508},
    {reason::handle_invalid, "handle_invalid", 403},
    {reason::loop_detected, "loop_detected", 508},
    {reason::peer_unauthenticated, "peer_unauthenticated", 403},
}};

constexpr bool entries_follow_declaration_order()
{
    for (std::size_t index = 0; index < entries.size(); ++index)
    {
        if (static_cast<std::size_t>(entries[index].value) != index)
        {
            return false;
        }
    }
    return true;
}

static_assert(entries_follow_declaration_order(), "the table is indexed by enumerator value");

constexpr auto make_reason_list()
{
    std::array<reason, reason_count> list{};
    std::transform(entries.begin(), entries.end(), list.begin(),
                   [](const reason_entry& entry) { return entry.value; });
    return list;
}

constexpr std::array<reason, reason_count> reason_list = make_reason_list();

} // namespace

std::string_view to_string(reason value) noexcept
{
    return entries[static_cast<std::size_t>(value)].name;
}

std::optional<reason> parse_reason(std::string_view name) noexcept
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [name](const reason_entry& entry) { return entry.name == name; });
    if (found == entries.end())
    {
        return std::nullopt;
    }
    return found->value;
}

int http_status(reason value) noexcept
{
    return entries[static_cast<std::size_t>(value)].status;
}

std::span<const reason> all_reasons() noexcept
{
    return reason_list;
}

} // namespace laburnumreach::core
