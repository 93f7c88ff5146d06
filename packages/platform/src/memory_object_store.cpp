#include "laburnumreach/platform/memory_object_store.hpp"

#include <utility>

namespace laburnumreach::platform
{

namespace
{

tl::unexpected<core::error> unavailable()
{
    return core::make_error(core::error_code::unavailable, "injected outage");
}

tl::unexpected<core::error> outcome_unknown()
{
    return core::make_error(core::error_code::outcome_unknown, "injected loss of the answer");
}

bool fails_read(store_fault fault)
{
    return fault == store_fault::outage || fault == store_fault::lost_answer;
}

} // namespace

void memory_object_store::inject(store_fault fault, std::size_t calls)
{
    const std::lock_guard lock{this->mutex};
    this->faults.insert(this->faults.end(), calls, fault);
}

void memory_object_store::set_outage(bool value)
{
    const std::lock_guard lock{this->mutex};
    this->outage = value;
}

void memory_object_store::set_delay_hook(std::function<void()> hook)
{
    const std::lock_guard lock{this->mutex};
    this->delay_hook = std::move(hook);
}

void memory_object_store::release_delayed_writes()
{
    const std::lock_guard lock{this->mutex};
    for (const write& wanted : std::exchange(this->delayed, {}))
    {
        static_cast<void>(this->apply(wanted)); // Nobody waits for the answer.
    }
}

std::size_t memory_object_store::calls() const
{
    const std::lock_guard lock{this->mutex};
    return this->call_count;
}

store_fault memory_object_store::next_fault()
{
    std::function<void()> hook;
    store_fault fault = store_fault::none;
    {
        const std::lock_guard lock{this->mutex};
        ++this->call_count;
        if (this->outage)
        {
            return store_fault::outage;
        }
        if (!this->faults.empty())
        {
            fault = this->faults.front();
            this->faults.pop_front();
        }
        hook = this->delay_hook;
    }
    if (fault == store_fault::slow && hook)
    {
        hook();
    }
    return fault;
}

core::result<object> memory_object_store::read(std::string_view name, store_fault fault) const
{
    const auto found = this->entries.find(name);
    if (found != this->entries.end() && fault == store_fault::stale_read && found->second.previous)
    {
        return *found->second.previous;
    }
    if (found == this->entries.end() || !found->second.value)
    {
        return core::make_error(core::error_code::not_found, "no object " + std::string{name});
    }
    return object{.name = found->first, .version = found->second.version, .value = *found->second.value};
}

core::result<object> memory_object_store::get(std::string_view name)
{
    const store_fault fault = this->next_fault();
    if (fails_read(fault))
    {
        return unavailable();
    }
    const std::lock_guard lock{this->mutex};
    return this->read(name, fault);
}

core::result<std::vector<object>> memory_object_store::list(std::string_view prefix)
{
    const store_fault fault = this->next_fault();
    if (fails_read(fault))
    {
        return unavailable();
    }
    const std::lock_guard lock{this->mutex};
    std::vector<object> objects;
    for (auto found = this->entries.lower_bound(prefix);
         found != this->entries.end() && found->first.starts_with(prefix); ++found)
    {
        if (auto current = this->read(found->first, fault))
        {
            objects.push_back(*std::move(current));
        }
    }
    return objects;
}

core::result<std::optional<object>> memory_object_store::watch(std::string_view name, object_version after,
                                                               std::chrono::milliseconds /*timeout*/)
{
    auto current = this->get(name);
    if (!current && current.error().code != core::error_code::not_found)
    {
        return tl::unexpected<core::error>{current.error()};
    }
    if (!current || current->version <= after)
    {
        return std::nullopt;
    }
    return *std::move(current);
}

core::result<object_version>
memory_object_store::put_if(std::string_view name, const write_condition& condition, std::string_view value)
{
    return this->perform({.name = std::string{name}, .condition = condition, .value = std::string{value}});
}

core::result<void> memory_object_store::remove_if(std::string_view name, object_version version)
{
    return this->perform({.name = std::string{name}, .condition = version, .value = std::nullopt})
        .map([](object_version) {});
}

core::result<object_version> memory_object_store::perform(write wanted)
{
    const store_fault fault = this->next_fault();
    if (fault == store_fault::outage)
    {
        return unavailable();
    }
    const std::lock_guard lock{this->mutex};
    if (fault == store_fault::delayed_write)
    {
        this->delayed.push_back(std::move(wanted));
        return outcome_unknown();
    }
    auto written = this->apply(wanted);
    if (fault == store_fault::lost_answer)
    {
        return outcome_unknown();
    }
    return written;
}

core::result<object_version> memory_object_store::apply(const write& wanted)
{
    if (wanted.value && wanted.value->size() > max_value_bytes)
    {
        return core::make_error(core::error_code::too_large, "the value is over 1 MB");
    }
    const auto current = this->read(wanted.name, store_fault::none);
    const bool met = wanted.condition ? current && current->version == *wanted.condition : !current;
    if (!met)
    {
        return core::make_error(core::error_code::conflict, "another version of " + wanted.name);
    }
    entry& stored = this->entries[wanted.name];
    stored.previous = current ? std::optional{*current} : std::nullopt;
    stored.value = wanted.value;
    return ++stored.version;
}

} // namespace laburnumreach::platform
