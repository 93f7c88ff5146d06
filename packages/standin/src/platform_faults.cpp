#include "laburnumreach/standin/platform_faults.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace laburnumreach::standin
{

core::result<void> platform_faults::replace(std::string_view text)
{
    core::result<std::vector<fault>> parsed = parse(text);
    if (!parsed)
    {
        return tl::unexpected(parsed.error());
    }
    const std::lock_guard lock{this->mutex};
    this->faults = *std::move(parsed);
    return {};
}

core::result<std::vector<platform_faults::fault>> platform_faults::parse(std::string_view text)
{
    static const std::map<std::string, kind> kinds{{"outage", kind::outage},
                                                   {"slow", kind::slow},
                                                   {"lose_write_answers", kind::lose_write_answers},
                                                   {"stale_reads", kind::stale_reads},
                                                   {"repeat_watch_events", kind::repeat_watch_events}};
    static const std::map<std::string, outage_mode> modes{
        {"status", outage_mode::status}, {"close", outage_mode::close}, {"refuse", outage_mode::refuse}};
    try
    {
        std::vector<fault> parsed;
        const nlohmann::json document = nlohmann::json::parse(text);
        for (const nlohmann::json& item : document.at("faults"))
        {
            fault next;
            next.what = kinds.at(item.at("kind").get<std::string>());
            next.daemons = item.value("daemons", std::vector<std::string>{});
            next.zones = item.value("zones", std::vector<std::string>{});
            next.mode = modes.at(item.value("mode", std::string{"status"}));
            next.delay = std::chrono::milliseconds{item.value("delay_ms", std::int64_t{0})};
            next.versions_behind = item.value("versions_behind", std::size_t{1});
            next.probability = item.value("probability", 1.0);
            if (item.contains("count"))
            {
                next.remaining = item.at("count").get<std::uint64_t>();
            }
            parsed.push_back(std::move(next));
        }
        return parsed;
    }
    catch (const std::exception& problem)
    {
        return core::make_error(core::error_code::invalid_argument,
                                std::string{"faults not understood: "} + problem.what());
    }
}

platform_faults::outage_mode platform_faults::outage(const caller_identity& caller) const
{
    const std::lock_guard lock{this->mutex};
    const fault* const found = this->find(kind::outage, caller);
    return found == nullptr ? outage_mode::none : found->mode;
}

std::chrono::milliseconds platform_faults::delay(const caller_identity& caller) const
{
    const std::lock_guard lock{this->mutex};
    const fault* const found = this->find(kind::slow, caller);
    return found == nullptr ? std::chrono::milliseconds{0} : found->delay;
}

std::size_t platform_faults::versions_behind(const caller_identity& caller) const
{
    const std::lock_guard lock{this->mutex};
    const fault* const found = this->find(kind::stale_reads, caller);
    return found == nullptr ? 0 : found->versions_behind;
}

bool platform_faults::loses_write_answer(const caller_identity& caller)
{
    return this->happens(kind::lose_write_answers, caller);
}

bool platform_faults::repeats_watch_event(const caller_identity& caller)
{
    return this->happens(kind::repeat_watch_events, caller);
}

const platform_faults::fault* platform_faults::find(kind what, const caller_identity& caller) const
{
    const auto lists = [](const std::vector<std::string>& names, const std::string& name)
    { return std::find(names.begin(), names.end(), name) != names.end(); };
    const auto found = std::find_if(this->faults.begin(), this->faults.end(),
                                    [&](const fault& candidate)
                                    {
                                        const bool for_all =
                                            candidate.daemons.empty() && candidate.zones.empty();
                                        return candidate.what == what && candidate.remaining != 0U &&
                                               (for_all || lists(candidate.daemons, caller.daemon) ||
                                                lists(candidate.zones, caller.zone));
                                    });
    return found == this->faults.end() ? nullptr : &*found;
}

bool platform_faults::happens(kind what, const caller_identity& caller)
{
    const std::lock_guard lock{this->mutex};
    // The faults are not const; find serves the const members as well.
    fault* const found = const_cast<fault*>(this->find(what, caller));
    if (found == nullptr || !this->random.chance(found->probability))
    {
        return false;
    }
    if (found->remaining)
    {
        --*found->remaining;
    }
    return true;
}

} // namespace laburnumreach::standin
