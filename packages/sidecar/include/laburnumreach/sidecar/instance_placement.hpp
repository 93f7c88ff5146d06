#ifndef LABURNUMREACH_SIDECAR_INSTANCE_PLACEMENT_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_PLACEMENT_HPP

#include "laburnumreach/sidecar/instance_choice.hpp"
#include "laburnumreach/sidecar/peer_link.hpp"

#include <map>
#include <memory>
#include <span>
#include <string>

namespace laburnumreach::sidecar
{

/// Tracks the instances of the fleet and the links to their daemons, and chooses instances for calls.
class instance_placement
{
public:
    instance_placement(std::string own_daemon, std::string own_zone)
        : daemon_id(std::move(own_daemon)), zone(std::move(own_zone))
    {
    }

    void add_link(const std::shared_ptr<peer_link>& link)
    {
        this->links_by_daemon[link->target().daemon_id] = link;
    }

    /// Forgets a daemon and its instance.
    void remove_daemon(const std::string& daemon)
    {
        this->links_by_daemon.erase(daemon);
        this->instances.erase(daemon);
    }

    /// Returns the link to a daemon; null if there is none.
    peer_link* find_link(const std::string& daemon) const;

    /// Returns the links by daemon id.
    const std::map<std::string, std::shared_ptr<peer_link>>& links() const noexcept
    {
        return this->links_by_daemon;
    }

    /// Records the state of the instance of this or another daemon.
    void record_status(const std::string& daemon, const instance_status& status)
    {
        this->instances[daemon] = {.status = status, .sent_since_report = 0};
    }

    /// Records a call sent to an instance that choose() returned.
    void record_sent(const std::string& daemon) { this->instances.at(daemon).sent_since_report += 1; }

    /// Chooses an instance of a service.
    /// @param excluded daemons whose instances are not considered
    /// @returns the id of its daemon; null if no instance can accept the call now
    const std::string* choose(const std::string& service, std::span<const std::string> excluded,
                              const choice_options& options) const;

    /// Returns the mean run time of a call on the known instances of a service; zero if there is none.
    core::duration mean_run_time(const std::string& service) const;

private:
    struct known_instance
    {
        instance_status status;
        double sent_since_report = 0;
    };

    std::string daemon_id;
    std::string zone;
    std::map<std::string, std::shared_ptr<peer_link>> links_by_daemon;
    std::map<std::string, known_instance> instances; ///< By daemon id, this one included.
};

} // namespace laburnumreach::sidecar

#endif
