#ifndef LABURNUMREACH_PLATFORM_CONDITIONAL_WRITE_HPP
#define LABURNUMREACH_PLATFORM_CONDITIONAL_WRITE_HPP

#include "laburnumreach/platform/object_store.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumreach::platform
{

/// How a conditional write ended.
enum class write_outcome : std::uint8_t
{
    written,  ///< The value is, or was, in force under the version of the result.
    conflict, ///< Another value was written; the write had no effect.
    refused,  ///< The write had no effect and the store said why.
    unknown,  ///< The answer was lost and the value could not be read back.
};

/// Result of write_once.
struct write_result
{
    write_outcome outcome = write_outcome::unknown;
    object_version version = 0; ///< Version written; only with written.
    std::optional<object>
        current;       ///< The other's object after a conflict; empty when it is absent or unread.
    core::error error; ///< Only with refused and unknown.
};

/// Puts a value once, with one conditional update and, when its answer was lost, one read that recognises the
/// write by its operation id.
/// @param operation_id unique id that the value carries
/// @param operation_id_of returns the operation id within a value as something comparable to a string
template <object_store Store, typename OperationIdOf>
write_result write_once(Store& store, std::string_view name, const write_condition& condition,
                        std::string_view value, std::string_view operation_id,
                        const OperationIdOf& operation_id_of)
{
    const auto written = store.put_if(name, condition, value);
    if (written)
    {
        return {.outcome = write_outcome::written, .version = *written, .current = {}, .error = {}};
    }
    const core::error_code code = written.error().code;
    if (code != core::error_code::conflict && code != core::error_code::outcome_unknown)
    {
        return {.outcome = write_outcome::refused, .version = 0, .current = {}, .error = written.error()};
    }
    auto current = store.get(name);
    // A conflict is looked up too: a proxy or the client's network may have repeated the request after the
    // first copy took effect.
    if (current && operation_id_of(current->value) == operation_id)
    {
        return {.outcome = write_outcome::written, .version = current->version, .current = {}, .error = {}};
    }
    if (code == core::error_code::conflict)
    {
        auto other = current ? std::optional{*std::move(current)} : std::nullopt;
        return {.outcome = write_outcome::conflict, .version = 0, .current = std::move(other), .error = {}};
    }
    // Without the answer, a version other than the expected one does not prove that the write had no effect:
    // it may have been replaced already. The same version does not either: the write may still be under way.
    return {.outcome = write_outcome::unknown,
            .version = 0,
            .current = current ? std::optional{*std::move(current)} : std::nullopt,
            .error = written.error()};
}

} // namespace laburnumreach::platform

#endif
