#ifndef LABURNUMREACH_CORE_REASON_HPP
#define LABURNUMREACH_CORE_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace laburnumreach::core
{

/// Why a request was refused, failed or retried. Each value has a counter.
enum class reason : std::uint8_t
{
    none,
    bad_request,
    key_in_body,
    ambiguous_key,
    key_missing,
    key_unknown,
    key_withdrawn,
    key_unverifiable,
    tenant_not_allowed,
    route_unknown,
    body_too_large,
    header_too_large,
    idempotency_key_missing,
    duplicate_in_progress,
    duplicate_outcome_unknown,
    duplicate_finished,
    rate_exceeded,
    quota_unavailable,
    overloaded,
    queue_full,
    deadline_unmeetable,
    deadline_exceeded,
    downstream_overloaded,
    no_configuration,
    no_instance,
    retry_budget_exhausted,
    attempts_exhausted,
    connect_failed,
    connection_lost,
    answer_incomplete,
    upstream_silent,
    cancelled,
    draining,
    claim_store_unavailable,
    claim_table_full,
    body_budget_exhausted,
    depth_exceeded,
    handle_invalid,
    loop_detected,
    peer_unauthenticated,
};

/// Number of values of reason.
inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::peer_unauthenticated) + 1;

/// Returns the name used in headers, JSON bodies and metric labels.
std::string_view to_string(reason value) noexcept;

/// Parses a name produced by to_string.
/// @returns no value for an unknown name
std::optional<reason> parse_reason(std::string_view name) noexcept;

/// Returns the HTTP status that a caller sees for this reason.
int http_status(reason value) noexcept;

/// Returns every reason, in declaration order.
std::span<const reason> all_reasons() noexcept;

} // namespace laburnumreach::core

#endif
