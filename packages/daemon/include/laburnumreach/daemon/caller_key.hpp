#ifndef LABURNUMREACH_DAEMON_CALLER_KEY_HPP
#define LABURNUMREACH_DAEMON_CALLER_KEY_HPP

#include "laburnumreach/core/reason.hpp"
#include "laburnumreach/http/headers.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace laburnumreach::daemon
{

/// The key that came with a request.
struct caller_key
{
    std::string text;
};

/// Finds the key of a request in `Authorization: Bearer`, `X-Api-Key` or the query parameter `api_key`.
/// @returns key_missing without any, ambiguous_key when two places hold different keys
tl::expected<caller_key, core::reason> find_caller_key(const http::headers& fields, std::string_view target);

/// Removes the key from a request before it goes on: the places where find_caller_key looks, every header and
/// cookie whose value contains the key as it is or percent-encoded, and every `Laburnum-*` header.
void remove_caller_key(const caller_key& key, http::headers& fields, std::string& target);

/// Returns whether a text contains the key as it is or percent-encoded. Used for the path and the body, which
/// are refused rather than changed.
bool contains_key(const caller_key& key, std::string_view text);

} // namespace laburnumreach::daemon

#endif
