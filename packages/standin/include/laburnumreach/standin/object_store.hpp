#ifndef LABURNUMREACH_STANDIN_OBJECT_STORE_HPP
#define LABURNUMREACH_STANDIN_OBJECT_STORE_HPP

#include "laburnumreach/standin/connection.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::standin
{

/// Versioned objects with conditional updates, their history and the callers that watch them. Thread safe.
class object_store
{
public:
    /// One accepted write.
    struct write_record
    {
        std::uint64_t version = 0;
        bool deleted = false;
        std::string writer{};               ///< Daemon id of the caller.
        std::size_t bytes = 0;              ///< Size of the value.
        std::optional<std::string> value{}; ///< Dropped from old records, see history_bytes.
    };

    /// An object as a caller sees it.
    struct object
    {
        std::string name{};
        std::uint64_t version = 0;
        std::string value{};
    };

    /// Values of an object's history are dropped, oldest first, beyond this total.
    static constexpr std::size_t history_bytes = 16 * 1024 * 1024;

    /// Writes a value if the object has the expected version.
    /// @param expected no value when the object must not exist
    /// @returns the new version, or no value on a conflict
    std::optional<std::uint64_t> put(const std::string& name, std::optional<std::uint64_t> expected,
                                     const std::string& value, const std::string& writer);

    /// Deletes the object if it has the expected version. The deletion takes a version of its own.
    /// @returns whether the object was deleted
    bool remove(const std::string& name, std::uint64_t expected, const std::string& writer);

    /// Reads an object.
    /// @param versions_behind number of the latest writes that are ignored
    std::optional<object> read(const std::string& name, std::size_t versions_behind = 0) const;

    /// Reads all objects whose name starts with the prefix, in the order of their names.
    std::vector<object> list(std::string_view prefix, std::size_t versions_behind = 0) const;

    /// Returns all accepted writes of an object, oldest first.
    std::vector<write_record> history(const std::string& name) const;

    /// Signals the connection on each write of the object until it is removed again.
    void add_watcher(const std::string& name, const connection& watcher);
    void remove_watcher(const std::string& name, const connection& watcher);

    /// Signals all watching connections.
    void wake_watchers() const;

private:
    struct entry
    {
        std::vector<write_record> writes{};
        std::size_t first_with_value = 0;
        std::size_t held_bytes = 0;
    };

    static std::optional<object> visible(const std::string& name, const entry& held,
                                         std::size_t versions_behind);
    static const write_record* current(const entry& held);
    void append(const std::string& name, entry& held, write_record record);

    mutable std::mutex mutex;
    std::map<std::string, entry, std::less<>> entries;
    std::map<std::string, std::set<const connection*>, std::less<>> watchers;
};

} // namespace laburnumreach::standin

#endif
