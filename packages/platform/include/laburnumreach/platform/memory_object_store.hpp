#ifndef LABURNUMREACH_PLATFORM_MEMORY_OBJECT_STORE_HPP
#define LABURNUMREACH_PLATFORM_MEMORY_OBJECT_STORE_HPP

#include "laburnumreach/platform/object_store.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace laburnumreach::platform
{

/// A fault that a memory_object_store plays on one call.
enum class store_fault : std::uint8_t
{
    none,
    outage,        ///< The call fails without effect.
    lost_answer,   ///< A write takes effect but fails with outcome_unknown; a read fails.
    delayed_write, ///< A write fails with outcome_unknown and takes effect at release_delayed_writes.
    stale_read,    ///< A read returns the version before the current one.
    slow,          ///< The call calls the delay hook first.
};

/// Test support: an object store in memory with injectable faults. Deterministic and thread safe. A watch
/// does not wait: it returns a newer version or, as after the timeout, no value.
class memory_object_store
{
public:
    /// Plays a fault on the next calls, in the order of injection.
    void inject(store_fault fault, std::size_t calls = 1);

    /// Fails every call while set, before injected faults.
    void set_outage(bool value);

    /// Sets what a slow call does, such as advancing the clock of the test.
    void set_delay_hook(std::function<void()> hook);

    /// Applies delayed writes in the order they were made; each one checks its condition now.
    void release_delayed_writes();

    /// Returns the number of calls since construction, including failed ones.
    std::size_t calls() const;

    core::result<object> get(std::string_view name);
    core::result<std::vector<object>> list(std::string_view prefix);
    core::result<std::optional<object>> watch(std::string_view name, object_version after,
                                              std::chrono::milliseconds timeout);
    core::result<object_version> put_if(std::string_view name, const write_condition& condition,
                                        std::string_view value);
    core::result<void> remove_if(std::string_view name, object_version version);

private:
    struct entry
    {
        object_version version = 0;
        std::optional<std::string> value; ///< Empty when deleted.
        std::optional<object> previous;   ///< Object before the last write.
    };

    struct write
    {
        std::string name;
        write_condition condition;
        std::optional<std::string> value; ///< Empty for a deletion.
    };

    store_fault next_fault();
    core::result<object> read(std::string_view name, store_fault fault) const;
    core::result<object_version> perform(write wanted);
    core::result<object_version> apply(const write& wanted);

    mutable std::mutex mutex;
    std::map<std::string, entry, std::less<>> entries;
    std::deque<store_fault> faults;
    std::deque<write> delayed;
    std::function<void()> delay_hook;
    std::size_t call_count = 0;
    bool outage = false;
};

static_assert(object_store<memory_object_store>);

} // namespace laburnumreach::platform

#endif
