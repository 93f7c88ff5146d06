#ifndef LABURNUMREACH_PLATFORM_OBJECT_STORE_HPP
#define LABURNUMREACH_PLATFORM_OBJECT_STORE_HPP

#include "laburnumreach/core/error.hpp"

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::platform
{

/// Version of an object. Grows by one with each write, also across deletion; the first one is 1.
using object_version = std::uint64_t;

/// Bound on the value of an object.
inline constexpr std::size_t max_value_bytes = 1'000'000;

/// A stored object.
struct object
{
    std::string name;
    object_version version = 0;
    std::string value;

    friend bool operator==(const object&, const object&) = default;
};

/// Condition of a write: the version that the object must have, or no value when it must be absent.
using write_condition = std::optional<object_version>;

/// An object store with conditional updates, as the platform offers it.
///
/// Errors: not_found (get of an absent object), conflict (condition not met), too_large, invalid_argument,
/// unavailable (the call had no effect, or was a read), and outcome_unknown (a write whose answer was lost
/// may have taken effect).
/// - get(name): the object.
/// - list(prefix): the objects whose names start with the prefix, ordered by name.
/// - watch(name, after, timeout): waits for a version greater than after; no value after the timeout.
/// - put_if(name, condition, value): writes and returns the new version.
/// - remove_if(name, version): deletes.
template <typename Store>
concept object_store = requires(Store& store, std::string_view name, object_version version,
                                std::chrono::milliseconds timeout, const write_condition& condition,
                                std::string_view value)
{
    {
        store.get(name)
        } -> std::same_as<core::result<object>>;
    {
        store.list(name)
        } -> std::same_as<core::result<std::vector<object>>>;
    {
        store.watch(name, version, timeout)
        } -> std::same_as<core::result<std::optional<object>>>;
    {
        store.put_if(name, condition, value)
        } -> std::same_as<core::result<object_version>>;
    {
        store.remove_if(name, version)
        } -> std::same_as<core::result<void>>;
};

} // namespace laburnumreach::platform

#endif
