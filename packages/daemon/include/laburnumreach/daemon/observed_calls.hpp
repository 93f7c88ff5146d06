#ifndef LABURNUMREACH_DAEMON_OBSERVED_CALLS_HPP
#define LABURNUMREACH_DAEMON_OBSERVED_CALLS_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/daemon/destination_table.hpp"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumreach::daemon
{

/// Which services, and with which dependencies, the routes of the upstream call. Learnt from its nested
/// calls, so that a route reports only the overload of dependencies that it really uses. Thread safe.
class observed_calls
{
public:
    /// Records a nested call.
    void add(std::string_view route, std::string_view called_service,
             overload::dependency_set_id dependencies);

    /// Returns the highest admission level among the dependencies of a route.
    overload::admission_level dependency_level(core::time_point now, std::string_view route,
                                               const destination_table& destinations) const;

private:
    using called = std::pair<std::string, overload::dependency_set_id>;

    mutable std::mutex mutex;
    /// Bounded by the configured routes and their dependencies.
    std::map<std::string, std::set<called>, std::less<>> routes;
};

} // namespace laburnumreach::daemon

#endif
