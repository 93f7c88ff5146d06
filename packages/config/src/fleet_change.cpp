#include "laburnumreach/config/fleet_change.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>

namespace laburnumreach::config
{

namespace
{

constexpr std::array<std::string_view, 15> kind_names{
    "zone_added",      "zone_removed",    "instance_drained", "instance_undrained", "service_added",
    "service_removed", "service_changed", "route_added",      "route_removed",      "route_changed",
    "tenant_added",    "tenant_removed",  "tenant_changed",   "key_granted",        "key_withdrawn"};
static_assert(kind_names.size() == static_cast<std::size_t>(change_kind::key_withdrawn) + 1);

std::string to_text(const std::string& value)
{
    return value;
}

std::string to_text(bool value)
{
    return value ? "true" : "false";
}

std::string to_text(double value)
{
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

std::string to_text(std::uint64_t value)
{
    return std::to_string(value);
}

std::string to_text(std::chrono::milliseconds value)
{
    return std::to_string(value.count());
}

std::string to_text(core::priority_class value)
{
    return std::string{core::to_string(value)};
}

std::string to_text(std::vector<std::string> values)
{
    std::sort(values.begin(), values.end());
    std::string text = "[";
    for (const std::string& value : values)
    {
        text += text.size() > 1 ? ", " : "";
        text += value;
    }
    return text + "]";
}

/// Collects the changes between two configurations.
class change_collector
{
public:
    std::vector<fleet_change> changes;

    void add(change_kind kind, std::string subject, std::optional<key_digest> digest = std::nullopt)
    {
        this->changes.push_back({.kind = kind,
                                 .subject = std::move(subject),
                                 .field = {},
                                 .before = {},
                                 .after = {},
                                 .digest = digest});
    }

    template <typename Value>
    void compare(change_kind kind, const std::string& subject, std::string_view field, const Value& before,
                 const Value& after)
    {
        std::string old_text = to_text(before);
        std::string new_text = to_text(after);
        if (old_text != new_text)
        {
            this->changes.push_back({.kind = kind,
                                     .subject = subject,
                                     .field = std::string{field},
                                     .before = std::move(old_text),
                                     .after = std::move(new_text),
                                     .digest = std::nullopt});
        }
    }

    void compare_names(const std::vector<std::string>& before, const std::vector<std::string>& after,
                       change_kind removed, change_kind added)
    {
        const std::set<std::string_view> old_names{before.begin(), before.end()};
        const std::set<std::string_view> new_names{after.begin(), after.end()};
        for (const std::string_view name : old_names)
        {
            if (!new_names.contains(name))
            {
                this->add(removed, std::string{name});
            }
        }
        for (const std::string_view name : new_names)
        {
            if (!old_names.contains(name))
            {
                this->add(added, std::string{name});
            }
        }
    }

    /// Matches entries by name and calls changed(name, before, after) for those that are in both lists.
    template <typename Entry, typename NameOf, typename Changed>
    void compare_entries(const std::vector<Entry>& before, const std::vector<Entry>& after, NameOf name_of,
                         change_kind removed, change_kind added, Changed changed)
    {
        std::map<std::string, const Entry*> old_entries;
        for (const Entry& entry : before)
        {
            old_entries.emplace(name_of(entry), &entry);
        }
        for (const Entry& entry : after)
        {
            const std::string name = name_of(entry);
            const auto found = old_entries.find(name);
            if (found == old_entries.end())
            {
                this->add(added, name);
                continue;
            }
            changed(name, *found->second, entry);
            old_entries.erase(found);
        }
        for (const auto& [name, entry] : old_entries)
        {
            this->add(removed, name);
        }
    }

    void compare_keys(const fleet_config& before, const fleet_config& after)
    {
        const auto keys_of = [](const fleet_config& config)
        {
            std::map<std::string, key_digest> keys;
            for (const tenant_config& tenant : config.tenants)
            {
                for (const tenant_key& key : tenant.keys)
                {
                    keys.emplace(tenant.name + "/" + key.id, key.digest);
                }
            }
            return keys;
        };
        const auto old_keys = keys_of(before);
        const auto new_keys = keys_of(after);
        const auto add_missing = [&](const auto& from, const auto& in, change_kind kind)
        {
            for (const auto& [name, digest] : from)
            {
                const auto found = in.find(name);
                if (found == in.end() || found->second != digest)
                {
                    this->add(kind, name, digest);
                }
            }
        };
        add_missing(old_keys, new_keys, change_kind::key_withdrawn);
        add_missing(new_keys, old_keys, change_kind::key_granted);
    }
};

} // namespace

std::string_view to_string(change_kind kind) noexcept
{
    return kind_names[static_cast<std::size_t>(kind)];
}

std::vector<fleet_change> diff_fleet_config(const fleet_config& before, const fleet_config& after)
{
    change_collector collector;
    collector.compare_names(before.zones, after.zones, change_kind::zone_removed, change_kind::zone_added);
    collector.compare_names(before.drained_instances, after.drained_instances,
                            change_kind::instance_undrained, change_kind::instance_drained);
    const auto entry_name = [](const auto& entry) { return entry.name; };
    collector.compare_entries(
        before.services, after.services, entry_name, change_kind::service_removed, change_kind::service_added,
        [&](const std::string& name, const service_config& old_entry, const service_config& new_entry)
        {
            collector.compare(change_kind::service_changed, name, "depends_on", old_entry.depends_on,
                              new_entry.depends_on);
        });
    collector.compare_entries(
        before.routes, after.routes,
        [](const route_config& route) { return route.service + "/" + route.name; },
        change_kind::route_removed, change_kind::route_added,
        [&](const std::string& name, const route_config& old_entry, const route_config& new_entry)
        {
            const auto compare = [&](std::string_view field, const auto& old_value, const auto& new_value)
            { collector.compare(change_kind::route_changed, name, field, old_value, new_value); };
            compare("method", old_entry.method, new_entry.method);
            compare("path", old_entry.path, new_entry.path);
            compare("priority", old_entry.priority, new_entry.priority);
            compare("idempotent", old_entry.idempotent, new_entry.idempotent);
            compare("open", old_entry.open, new_entry.open);
            compare("tenants", old_entry.tenants, new_entry.tenants);
            compare("timeout_ms", old_entry.timeout, new_entry.timeout);
            compare("attempts", std::uint64_t{old_entry.attempts}, std::uint64_t{new_entry.attempts});
            compare("max_body_bytes", old_entry.max_body_bytes, new_entry.max_body_bytes);
            compare("calls", old_entry.calls, new_entry.calls);
        });
    collector.compare_entries(
        before.tenants, after.tenants, entry_name, change_kind::tenant_removed, change_kind::tenant_added,
        [&](const std::string& name, const tenant_config& old_entry, const tenant_config& new_entry)
        {
            const auto compare = [&](std::string_view field, double old_value, double new_value)
            { collector.compare(change_kind::tenant_changed, name, field, old_value, new_value); };
            compare("rate", old_entry.rate, new_entry.rate);
            compare("burst", old_entry.burst, new_entry.burst);
            compare("weight", old_entry.weight, new_entry.weight);
        });
    collector.compare_keys(before, after);
    return std::move(collector.changes);
}

std::string to_string(const fleet_change& change)
{
    std::string text{to_string(change.kind)};
    text += " " + change.subject;
    if (!change.field.empty())
    {
        text += ": " + change.field + " " + change.before + " -> " + change.after;
    }
    return text;
}

} // namespace laburnumreach::config
