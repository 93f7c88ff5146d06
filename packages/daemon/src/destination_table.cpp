#include "laburnumreach/daemon/destination_table.hpp"

#include "laburnumreach/config/endpoint.hpp"

#include <algorithm>

namespace laburnumreach::daemon
{

destination_table::destination_table(const destination_table_options& table) : options(table) {}

void destination_table::update(core::time_point now, const membership::member_table& members,
                               const config::fleet_index* index)
{
    for (const auto& [id, entry] : members.entries())
    {
        const bool drained = index != nullptr && index->is_drained(entry.record.instance);
        this->apply(now, entry.record, drained);
    }
    std::erase_if(this->known, [&](const auto& item)
                  { return !item.second.usable && members.find(item.first) == nullptr; });
}

std::shared_ptr<called_service> destination_table::find(std::string_view service) const
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->services.find(service);
    return found == this->services.end() ? nullptr : found->second;
}

void destination_table::apply(core::time_point now, const membership::member_record& member, bool drained)
{
    const auto found = this->known.find(member.id);
    const bool usable = membership::accepts_work(member);
    if (found != this->known.end() && found->second.version == member.version &&
        found->second.usable == usable && found->second.drained == drained)
    {
        return;
    }
    if (!usable)
    {
        this->remove(member.id);
        return;
    }
    known_instance& instance = this->known[member.id];
    if (instance.id != 0 && instance.service != member.service)
    {
        this->remove(member.id);
    }
    if (instance.id == 0)
    {
        instance.id = this->next_id++;
    }
    instance.service = member.service;
    instance.version = member.version;
    instance.usable = true;
    instance.drained = drained;
    const auto peer = config::parse_endpoint(member.peer_address);
    if (!peer)
    {
        return;
    }
    const std::shared_ptr<called_service> service = this->find_or_add(member.service);
    const std::lock_guard lock{service->mutex};
    service->targets[instance.id] = {.daemon_id = member.id,
                                     .instance = member.instance,
                                     .peer = {.address = peer->address, .port = peer->port}};
    service->destination.instances().set_instance(now, {.id = instance.id,
                                                        .same_zone = member.zone == this->options.zone,
                                                        .slots = std::max<std::uint32_t>(member.slots, 1),
                                                        .draining = drained});
}

void destination_table::remove(const std::string& member_id)
{
    known_instance& instance = this->known[member_id];
    if (instance.id != 0)
    {
        const std::shared_ptr<called_service> service = this->find_or_add(instance.service);
        const std::lock_guard lock{service->mutex};
        service->destination.instances().remove_instance(instance.id);
        service->targets.erase(instance.id);
    }
    // The number is not reused: another process may come back under this id.
    instance = known_instance{};
}

std::shared_ptr<called_service> destination_table::find_or_add(const std::string& service)
{
    const std::lock_guard lock{this->mutex};
    std::shared_ptr<called_service>& entry = this->services[service];
    if (!entry)
    {
        entry = std::make_shared<called_service>(this->options.seed + this->services.size());
    }
    return entry;
}

} // namespace laburnumreach::daemon
