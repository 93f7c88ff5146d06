#ifndef LABURNUMREACH_STANDIN_PLATFORM_STATISTICS_HPP
#define LABURNUMREACH_STANDIN_PLATFORM_STATISTICS_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace laburnumreach::standin
{

/// Counts the calls to the platform stand-in by kind and by daemon. Thread safe.
class platform_statistics
{
public:
    /// What is counted for each kind of call.
    struct counts
    {
        std::uint64_t calls = 0;
        std::uint64_t rejected = 0; ///< Over the call rate (429).
        std::uint64_t failed = 0;   ///< Outage: 503 or closed without an answer.
        std::uint64_t bytes_in = 0;
        std::uint64_t bytes_out = 0;
    };

    /// Adds one finished call.
    /// @param kind read, list, watch, write or delete
    void add(const std::string& kind, const std::string& daemon, const counts& call);

    /// Returns {"total":{...},"kinds":{"read":{...}},"daemons":{"vm-a1":{"read":{...}}}}.
    std::string to_json() const;

private:
    using counts_by_kind = std::map<std::string, counts>;

    mutable std::mutex mutex;
    std::map<std::string, counts_by_kind> daemons;
};

} // namespace laburnumreach::standin

#endif
