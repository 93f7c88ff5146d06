#ifndef LABURNUMREACH_SIDECAR_CALL_REASONS_HPP
#define LABURNUMREACH_SIDECAR_CALL_REASONS_HPP

#include <string_view>

/// Reasons why a call got no response, as used in replies between daemons, metric labels and log lines.
namespace laburnumreach::sidecar::call_reason
{

inline constexpr std::string_view no_instance = "no_instance";
inline constexpr std::string_view other_service = "other_service";
inline constexpr std::string_view other_instance = "other_instance";
inline constexpr std::string_view instance_leaving = "instance_leaving";
inline constexpr std::string_view instance_down = "instance_down";
inline constexpr std::string_view instance_rejected = "instance_rejected";
inline constexpr std::string_view refusal_without_id = "refusal_without_id";
inline constexpr std::string_view queue_full = "queue_full";
inline constexpr std::string_view deadline = "deadline";
inline constexpr std::string_view never_received = "never_received";
inline constexpr std::string_view outcome_unknown = "outcome_unknown";
inline constexpr std::string_view memory = "memory";
inline constexpr std::string_view response_dropped = "response_dropped";
inline constexpr std::string_view link_lost = "link_lost";
inline constexpr std::string_view daemon_stopping = "daemon_stopping";

} // namespace laburnumreach::sidecar::call_reason

#endif
