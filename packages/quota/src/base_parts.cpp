#include "laburnumreach/quota/base_parts.hpp"

#include <algorithm>
#include <utility>

namespace laburnumreach::quota
{

base_parts::base_parts(std::string own_zone, std::int64_t margin_ppm)
    : zone(std::move(own_zone)), rate_margin_ppm(margin_ppm)
{
}

bool base_parts::adopt(std::shared_ptr<const quota_revision> revision)
{
    if (!this->entries.empty() && revision->revision <= this->entries.back().revision)
    {
        return false;
    }
    if (const auto last = this->newest();
        last && last->zones == revision->zones && last->tenants == revision->tenants)
    {
        // Most changes of the configuration leave the quotas as they are; share the content.
        this->entries.push_back({revision->revision, last});
    }
    else
    {
        this->entries.push_back({revision->revision, std::move(revision)});
    }
    this->advance();
    return true;
}

void base_parts::adopt_unknown(revision_zones revision)
{
    this->entries.push_back(
        {revision.revision,
         std::make_shared<const quota_revision>(quota_revision{
             .revision = revision.revision, .zones = std::move(revision.zones), .tenants = {}})});
    this->advance();
}

void base_parts::settled()
{
    if (!this->entries.empty() && this->settled_revision != this->entries.back().revision)
    {
        this->settled_revision = this->entries.back().revision;
        this->advance();
    }
}

std::vector<std::uint64_t> base_parts::announced() const
{
    std::vector<std::uint64_t> revisions;
    for (const entry& used : this->entries)
    {
        if (used.revision <= this->recorded_revision && used.revision <= this->settled_revision)
        {
            revisions.push_back(used.revision);
        }
    }
    return revisions;
}

std::vector<revision_zones> base_parts::in_use() const
{
    std::vector<revision_zones> revisions;
    revisions.reserve(this->entries.size());
    for (const entry& used : this->entries)
    {
        revisions.push_back({used.revision, used.quotas->zones});
    }
    return revisions;
}

bool base_parts::other_zone_uses(const std::string& other, const std::vector<std::uint64_t>& revisions)
{
    std::set<std::uint64_t>& known = this->others[other];
    const std::size_t before = known.size();
    known.insert(revisions.begin(), revisions.end());
    return known.size() != before && this->advance();
}

bool base_parts::common(const entry& candidate) const
{
    if (candidate.revision > this->settled_revision)
    {
        return false;
    }
    const auto announced_by = [&](const std::string& name)
    {
        const auto known = this->others.find(name);
        return name == this->zone ||
               (known != this->others.end() && known->second.contains(candidate.revision));
    };
    return std::all_of(
        this->entries.begin(), this->entries.end(),
        [&](const entry& used)
        { return std::all_of(used.quotas->zones.begin(), used.quotas->zones.end(), announced_by); });
}

bool base_parts::advance()
{
    bool changed = false;
    for (auto candidate = this->entries.rbegin(); candidate != this->entries.rend(); ++candidate)
    {
        if (this->common(*candidate))
        {
            changed = std::next(candidate) != this->entries.rend();
            const std::uint64_t oldest = candidate->revision;
            std::erase_if(this->entries, [oldest](const entry& used) { return used.revision < oldest; });
            for (auto& [name, known] : this->others)
            {
                known.erase(known.begin(), known.lower_bound(oldest));
            }
            break;
        }
    }
    this->same_zones = std::all_of(this->entries.begin(), this->entries.end(),
                                   [this](const entry& used)
                                   { return used.quotas->zones == this->entries.back().quotas->zones; });
    return changed;
}

part base_parts::base_part(std::string_view tenant) const
{
    const auto last = this->newest();
    if (!last)
    {
        return {};
    }
    part smallest = last->base_part(tenant, this->zone, this->rate_margin_ppm);
    if (this->same_zones)
    {
        return smallest;
    }
    for (const entry& used : this->entries)
    {
        smallest = component_min(smallest, used.quotas->base_part(tenant, this->zone, this->rate_margin_ppm));
    }
    return smallest;
}

std::shared_ptr<const quota_revision> base_parts::newest() const
{
    return this->entries.empty() ? nullptr : this->entries.back().quotas;
}

} // namespace laburnumreach::quota
