#ifndef LABURNUMREACH_DAEMON_DESTINATION_TABLE_HPP
#define LABURNUMREACH_DAEMON_DESTINATION_TABLE_HPP

#include "laburnumreach/config/fleet_index.hpp"
#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/daemon/name_registry.hpp"
#include "laburnumreach/http/endpoint.hpp"
#include "laburnumreach/membership/member_table.hpp"
#include "laburnumreach/overload/bucket_assigner.hpp"
#include "laburnumreach/overload/destination.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace laburnumreach::daemon
{

/// The daemon beside an upstream instance.
struct instance_target
{
    std::string daemon_id;
    std::string instance;
    http::endpoint peer; ///< Its listener for calls of other daemons.
};

/// What this daemon knows about one called service. Locked for each use; the critical sections do no I/O.
struct called_service
{
    called_service(std::uint64_t seed) : random(seed) {}

    std::mutex mutex;
    overload::destination destination;
    overload::bucket_assigner shares;
    core::random_source random;
    std::map<overload::instance_id, instance_target> targets;
};

/// Settings of a destination_table.
struct destination_table_options
{
    std::string zone;
    std::uint64_t seed = 0;
};

/// All services that this daemon may call, kept up to date from the membership. Thread safe.
class destination_table
{
public:
    explicit destination_table(const destination_table_options& options);

    /// Takes over the members that changed since the last call, and the drained instances of the
    /// configuration.
    void update(core::time_point now, const membership::member_table& members,
                const config::fleet_index* index);

    /// Returns a service, or null when no member ever offered it.
    std::shared_ptr<called_service> find(std::string_view service) const;

private:
    struct known_instance
    {
        overload::instance_id id = 0;
        std::string service;
        std::uint64_t version = 0;
        bool usable = false;
        bool drained = false;
    };

    void apply(core::time_point now, const membership::member_record& member, bool drained);
    void remove(const std::string& member_id);
    std::shared_ptr<called_service> find_or_add(const std::string& service);

    destination_table_options options;
    /// Members by id; used by the control thread only.
    std::map<std::string, known_instance> known;
    overload::instance_id next_id = 1;
    mutable std::mutex mutex;
    std::map<std::string, std::shared_ptr<called_service>, std::less<>> services;
};

} // namespace laburnumreach::daemon

#endif
