#include "laburnumreach/standin/object_store.hpp"

#include <utility>

namespace laburnumreach::standin
{

std::optional<std::uint64_t> object_store::put(const std::string& name, std::optional<std::uint64_t> expected,
                                               const std::string& value, const std::string& writer)
{
    const std::lock_guard lock{this->mutex};
    entry& held = this->entries[name];
    const write_record* const now = current(held);
    if (expected ? now == nullptr || now->version != *expected : now != nullptr)
    {
        return std::nullopt;
    }
    const std::uint64_t version = held.writes.size() + 1;
    this->append(
        name, held,
        write_record{
            .version = version, .deleted = false, .writer = writer, .bytes = value.size(), .value = value});
    return version;
}

bool object_store::remove(const std::string& name, std::uint64_t expected, const std::string& writer)
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->entries.find(name);
    const write_record* const now = found == this->entries.end() ? nullptr : current(found->second);
    if (now == nullptr || now->version != expected)
    {
        return false;
    }
    this->append(
        name, found->second,
        write_record{
            .version = expected + 1, .deleted = true, .writer = writer, .bytes = 0, .value = std::nullopt});
    return true;
}

std::optional<object_store::object> object_store::read(const std::string& name,
                                                       std::size_t versions_behind) const
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->entries.find(name);
    return found == this->entries.end() ? std::nullopt : visible(name, found->second, versions_behind);
}

std::vector<object_store::object> object_store::list(std::string_view prefix,
                                                     std::size_t versions_behind) const
{
    const std::lock_guard lock{this->mutex};
    std::vector<object> found;
    for (auto next = this->entries.lower_bound(prefix);
         next != this->entries.end() && next->first.starts_with(prefix); ++next)
    {
        if (auto shown = visible(next->first, next->second, versions_behind))
        {
            found.push_back(*std::move(shown));
        }
    }
    return found;
}

std::vector<object_store::write_record> object_store::history(const std::string& name) const
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->entries.find(name);
    return found == this->entries.end() ? std::vector<write_record>{} : found->second.writes;
}

void object_store::add_watcher(const std::string& name, const connection& watcher)
{
    const std::lock_guard lock{this->mutex};
    this->watchers[name].insert(&watcher);
}

void object_store::remove_watcher(const std::string& name, const connection& watcher)
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->watchers.find(name);
    if (found != this->watchers.end() && found->second.erase(&watcher) != 0 && found->second.empty())
    {
        this->watchers.erase(found);
    }
}

void object_store::wake_watchers() const
{
    const std::lock_guard lock{this->mutex};
    for (const auto& [name, waiting] : this->watchers)
    {
        for (const connection* const watcher : waiting)
        {
            watcher->signal();
        }
    }
}

std::optional<object_store::object> object_store::visible(const std::string& name, const entry& held,
                                                          std::size_t versions_behind)
{
    // A caller that is too far behind sees the oldest value that is still held.
    const std::size_t count = held.writes.size();
    const std::size_t oldest = std::min(held.first_with_value + 1, count);
    const std::size_t seen = std::max(count - std::min(versions_behind, count), oldest);
    if (seen == 0 || held.writes[seen - 1].deleted)
    {
        return std::nullopt;
    }
    const write_record& record = held.writes[seen - 1];
    return object{.name = name, .version = record.version, .value = record.value.value_or("")};
}

const object_store::write_record* object_store::current(const entry& held)
{
    return held.writes.empty() || held.writes.back().deleted ? nullptr : &held.writes.back();
}

void object_store::append(const std::string& name, entry& held, write_record record)
{
    held.held_bytes += record.bytes;
    held.writes.push_back(std::move(record));
    while (held.held_bytes > history_bytes && held.first_with_value + 1 < held.writes.size())
    {
        write_record& oldest = held.writes[held.first_with_value++];
        held.held_bytes -= oldest.bytes;
        oldest.value.reset();
    }
    if (const auto found = this->watchers.find(name); found != this->watchers.end())
    {
        for (const connection* const watcher : found->second)
        {
            watcher->signal();
        }
    }
}

} // namespace laburnumreach::standin
