#include "laburnumreach/standin/load_report.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace laburnumreach::standin
{

core::duration load_report::group::quantile(double share) const
{
    if (this->latencies.empty())
    {
        return core::duration::zero();
    }
    std::vector<core::duration> sorted = this->latencies;
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(sorted.begin(), nth, sorted.end());
    return *nth;
}

load_report::load_report(const load_scenario& scenario, std::span<const load_attempt> attempts,
                         run_judgement judged)
    : seed(scenario.seed), judgement(std::move(judged))
{
    this->find_group("all", "");
    for (const load_scenario::tenant& each : scenario.tenants)
    {
        this->find_group("tenant", each.name);
    }
    for (const load_scenario::request_kind& each : scenario.kinds)
    {
        this->find_group("priority", each.priority);
    }
    for (const load_scenario::phase& each : scenario.phases)
    {
        this->find_group("phase", each.name);
    }
    for (const load_attempt& attempt : attempts)
    {
        this->add(scenario, attempt);
    }
}

load_report::group& load_report::find_group(const std::string& by, const std::string& name)
{
    const auto found =
        std::find_if(this->rows.begin(), this->rows.end(),
                     [&](const group& candidate) { return candidate.by == by && candidate.name == name; });
    return found == this->rows.end()
               ? this->rows.emplace_back(group{
                     .by = by, .name = name, .endings = {}, .reasons = {}, .verdicts = {}, .latencies = {}})
               : *found;
}

load_report::bucket& load_report::bucket_at(core::duration time)
{
    const auto index = static_cast<std::size_t>(std::max(core::duration::zero(), time) / bucket_length);
    if (index >= this->buckets.size())
    {
        this->buckets.resize(index + 1);
    }
    return this->buckets[index];
}

void load_report::add(const load_scenario& scenario, const load_attempt& attempt)
{
    const load_scenario::request_kind& kind = scenario.kinds[attempt.kind];
    const std::string& tenant = scenario.tenants[attempt.tenant].name;
    using place = std::pair<std::string, std::string>;
    const std::vector<place> places =
        attempt.duplicate ? std::vector<place>{{"duplicates", ""}}
                          : std::vector<place>{{"all", ""},
                                               {"tenant", tenant},
                                               {"priority", kind.priority},
                                               {"kind", kind.name},
                                               {"phase", scenario.phases[attempt.phase].name}};
    const bool whole = attempt.ended == load_attempt::ending::whole;
    const bool refused = attempt.ended == load_attempt::ending::refused;
    for (const auto& [by, name] : places)
    {
        group& row = this->find_group(by, name);
        row.requests += attempt.attempt == 0 ? 1 : 0;
        ++row.attempts;
        ++row.endings[std::string{to_string(attempt.ended)}];
        if (whole)
        {
            ++row.whole;
            row.latencies.push_back(attempt.done - attempt.intended);
        }
        if (refused)
        {
            ++row.reasons[attempt.reason];
        }
        if (whole || refused || attempt.ended == load_attempt::ending::damaged)
        {
            ++row.verdicts[attempt.verdict.empty() ? "none" : attempt.verdict];
        }
    }
    if (attempt.duplicate)
    {
        return;
    }
    this->bucket_at(attempt.intended).sent += attempt.attempt == 0 ? 1 : 0;
    ++this->bucket_at(attempt.due).attempts;
    bucket& at_end = this->bucket_at(attempt.done);
    at_end.refused += refused ? 1 : 0;
    if (whole)
    {
        ++at_end.whole;
        ++at_end.whole_by_priority[kind.priority];
        ++at_end.whole_by_tenant[tenant];
    }
}

} // namespace laburnumreach::standin
