#ifndef LABURNUMREACH_QUOTA_DAEMON_REF_HPP
#define LABURNUMREACH_QUOTA_DAEMON_REF_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace laburnumreach::quota
{

/// One run of a daemon. A restarted daemon is another one: it has forgotten its loans and promises.
struct daemon_ref
{
    std::string id;
    std::uint64_t incarnation = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false report for a defaulted comparison
    friend auto operator<=>(const daemon_ref&, const daemon_ref&) = default;
};

} // namespace laburnumreach::quota

#endif
