// Network, platform, faults and invariants of a fleet_model.

#include "laburnumreach/fleet/fleet_model.hpp"

#include <algorithm>

namespace laburnumreach::fleet
{

using namespace std::chrono_literals;

namespace
{

/// Envelope with version, kind, sender and HMAC.
constexpr std::size_t envelope_bytes = 96;
/// Numbers of one loan_request_item and one loan_grant_item in MessagePack.
constexpr std::size_t request_item_bytes = 48;
constexpr std::size_t grant_item_bytes = 36;
constexpr std::size_t other_bytes = 64;

template <typename Items>
std::size_t item_bytes(const Items& items, std::size_t each)
{
    std::size_t sum = envelope_bytes;
    for (const auto& item : items)
    {
        sum += item.tenant.size() + each;
    }
    return sum;
}

std::size_t encoded_bytes(const message& sent)
{
    if (const auto* request = std::get_if<quota::loan_request>(&sent))
    {
        return item_bytes(request->items, request_item_bytes) +
               request->revisions.size() * sizeof(std::uint64_t);
    }
    if (const auto* grant = std::get_if<quota::loan_grant>(&sent))
    {
        return item_bytes(grant->items, grant_item_bytes);
    }
    return envelope_bytes + other_bytes;
}

} // namespace

std::optional<std::size_t> fleet_model::find(const quota::daemon_ref& daemon) const
{
    const std::size_t index = std::stoul(daemon.id.substr(node_prefix.size()));
    const bool runs = this->nodes[index].alive && this->nodes[index].self == daemon;
    return runs ? std::optional{index} : std::nullopt;
}

void fleet_model::send(const fleet_node& from, std::size_t to, const message& sent)
{
    const fleet_node& receiver = this->nodes[to];
    ++this->spent.messages;
    if (this->options.measure)
    {
        this->spent.bytes += encoded_bytes(sent);
    }
    const fault_options& faults = this->options.faults;
    if (from.group != receiver.group || this->source.chance(faults.loss))
    {
        return;
    }
    const core::duration hop =
        from.zone == receiver.zone ? this->options.hop_in_zone : this->options.hop_between_zones;
    this->deliver(to, sent, hop);
    if (this->source.chance(faults.repetition))
    {
        this->deliver(to, sent, hop);
    }
}

void fleet_model::deliver(std::size_t to, const message& sent, core::duration hop)
{
    core::duration delay = this->jitter(hop);
    if (this->source.chance(this->options.faults.late))
    {
        delay += this->jitter(this->options.faults.longest_late);
    }
    this->queue.after(delay,
                      [this, to, sent]
                      {
                          fleet_node& node = this->nodes[to];
                          if (this->running(node))
                          {
                              this->handle(node, sent);
                          }
                          else if (node.alive)
                          {
                              node.held_back.push_back(sent);
                          }
                      });
}

void fleet_model::send_to_lender(const fleet_node& from, const quota::loan_request& request)
{
    // Every daemon that believes to be the lender gets it, which is worse than any real routing.
    const auto zone = std::find(this->zones.begin(), this->zones.end(), request.lender_zone);
    for (auto index = static_cast<std::size_t>(zone - this->zones.begin()); index < this->nodes.size();
         index += this->zones.size())
    {
        if (this->nodes[index].alive && this->nodes[index].agent->lender() != nullptr)
        {
            this->send(from, index, request);
        }
    }
}

void fleet_model::send_grant(const fleet_node& from, const quota::loan_grant& grant)
{
    if (const auto to = this->find(grant.receiver))
    {
        this->send(from, *to, grant);
    }
}

void fleet_model::send_all(const fleet_node& from, const quota::lender::output& out)
{
    for (const quota::loan_grant& grant : out.grants)
    {
        this->send_grant(from, grant);
    }
    for (const quota::loan_request& request : out.requests)
    {
        this->send_to_lender(from, request);
    }
}

void fleet_model::send_promises(const fleet_node& from, const std::vector<quota::promise_request>& requests)
{
    for (const quota::promise_request& request : requests)
    {
        if (const auto to = this->find(request.to))
        {
            this->send(from, *to, request);
        }
    }
}

void fleet_model::platform_call(std::size_t index, std::uint64_t life,
                                const std::function<std::function<void()>()>& effect)
{
    const auto travel = [this]
    {
        const bool late = this->source.chance(this->options.faults.late);
        return this->jitter(this->options.platform_hop) +
               (late ? this->jitter(this->options.faults.longest_late) : core::duration{0});
    };
    const auto lost = [this, index]
    {
        const auto group = static_cast<std::size_t>(this->nodes[index].group);
        return (group < this->platform_reachable.size() && !this->platform_reachable[group]) ||
               this->source.chance(this->options.faults.loss);
    };
    if (lost())
    {
        return;
    }
    this->queue.after(travel(),
                      [this, index, life, effect, travel, lost]
                      {
                          const std::function<void()> respond = effect();
                          if (lost())
                          {
                              return;
                          }
                          this->queue.after(travel(),
                                            [this, index, life, respond]
                                            {
                                                const fleet_node& node = this->nodes[index];
                                                if (node.life == life && this->running(node))
                                                {
                                                    respond();
                                                }
                                            });
                      });
}

void fleet_model::platform_read(std::size_t index, std::uint64_t life)
{
    this->platform_call(index, life,
                        [this, index]() -> std::function<void()>
                        {
                            return [this, index, record = this->records[this->nodes[index].zone]] {
                                this->nodes[index].agent->on_read(record,
                                                                  this->local_now(this->nodes[index]));
                            };
                        });
}

void fleet_model::platform_write(std::size_t index, std::uint64_t life, zone_record record,
                                 std::uint64_t if_version)
{
    this->platform_call(
        index, life,
        [this, index, record = std::move(record), if_version]() mutable -> std::function<void()>
        {
            zone_record& stored = this->records[this->nodes[index].zone];
            std::optional<std::uint64_t> version;
            if (stored.version == if_version)
            {
                stored = record;
                stored.version = if_version + 1;
                version = stored.version;
            }
            return [this, index, version, write = record.write]
            { this->nodes[index].agent->on_write(write, version, this->local_now(this->nodes[index])); };
        });
}

void fleet_model::crash(std::size_t node)
{
    this->nodes[node].alive = false;
    ++this->nodes[node].life;
}

void fleet_model::restart(std::size_t node)
{
    if (!this->nodes[node].alive)
    {
        this->start(this->nodes[node]);
    }
}

void fleet_model::pause(std::size_t node, core::duration time)
{
    this->nodes[node].paused_until = std::max(this->nodes[node].paused_until, this->queue.now() + time);
}

void fleet_model::stop(std::size_t index)
{
    fleet_node& node = this->nodes[index];
    if (!this->running(node))
    {
        return;
    }
    const zone_agent::farewell farewell = node.agent->stop(this->local_now(node));
    if (farewell.passed_on)
    {
        // Repeated, since a lost handover costs the zone the time of a takeover.
        for (int copy = 0; copy < 3; ++copy)
        {
            if (const auto to = this->find(farewell.passed_on->to))
            {
                this->send(node, *to, *farewell.passed_on);
            }
        }
    }
    if (farewell.released)
    {
        if (const auto to = this->find(farewell.released->to))
        {
            this->send(node, *to, *farewell.released);
        }
    }
    if (const auto request = node.borrower->release(this->local_now(node)))
    {
        this->send_to_lender(node, *request);
    }
    this->crash(index);
}

void fleet_model::set_platform_reachable(int group, bool reachable)
{
    const auto slot = static_cast<std::size_t>(group);
    if (slot >= this->platform_reachable.size())
    {
        this->platform_reachable.resize(slot + 1, true);
    }
    this->platform_reachable[slot] = reachable;
}

void fleet_model::set_faults(const fault_options& faults)
{
    this->options.faults = faults;
}

std::optional<std::size_t> fleet_model::lender_of(std::size_t zone) const
{
    for (const fleet_node& node : this->nodes)
    {
        if (node.zone == zone && node.alive && node.agent->has_authority(this->local_now(node)))
        {
            return node.index;
        }
    }
    return std::nullopt;
}

void fleet_model::violate(std::string what)
{
    if (this->first_violation.empty())
    {
        const double time_s =
            std::chrono::duration<double>(this->queue.now().time_since_epoch() - std::chrono::hours{1})
                .count();
        this->first_violation = std::move(what) + " at " + std::to_string(time_s) + " s";
    }
}

void fleet_model::check()
{
    std::vector<int> holders(this->zones.size(), 0);
    for (const fleet_node& node : this->nodes)
    {
        // A paused lender counts: it must have lost its authority before another one gains it.
        if (node.alive && node.agent->has_authority(this->local_now(node)) && ++holders[node.zone] > 1)
        {
            this->violate("two lenders with authority in " + this->zones[node.zone]);
        }
    }
    for (std::size_t tenant = 0; tenant < this->tenants.size(); ++tenant)
    {
        this->check_parts(tenant);
    }
}

void fleet_model::check_parts(std::size_t tenant)
{
    const tenant_state& state = this->tenants[tenant];
    quota::part sum;
    for (fleet_node& node : this->nodes)
    {
        if (!node.alive)
        {
            continue;
        }
        const core::time_point now = this->local_now(node);
        sum +=
            node.accounts[tenant]->with([now](quota::tenant_bucket& bucket) { return bucket.holdings(now); });
        if (node.agent->has_authority(now))
        {
            quota::tenant_pool* pool = node.agent->lender()->find_pool(state.name);
            sum += pool == nullptr ? quota::part{} : pool->unlent(now);
        }
    }
    if (sum.rate > state.most_rate || sum.capacity > state.most_burst || sum.tokens > state.most_burst)
    {
        this->violate("parts of tenant " + state.name + " sum to more than the tenant's quota");
    }
}

} // namespace laburnumreach::fleet
