#include "laburnumreach/fleet/fleet_model.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace laburnumreach::fleet
{

using namespace std::chrono_literals;

namespace
{

/// Longest wait of a request for tokens.
constexpr core::duration longest_wait = 30ms;

std::int64_t greater(std::int64_t left, std::int64_t right)
{
    return std::max(left, right);
}

} // namespace

fleet_model::fleet_model(fleet_options settings)
    : options(std::move(settings)), source(this->options.seed), platform_reachable(1, true)
{
    for (int zone = 0; zone < this->options.zones; ++zone)
    {
        this->zones.push_back("zone-" + std::to_string(zone));
    }
    this->options.quotas.zones = this->zones;
    this->options.quotas.revision = 1;
    this->newest = std::make_shared<const quota::quota_revision>(this->options.quotas);
    this->records.resize(this->zones.size());
    for (const auto& [name, quota] : this->newest->tenants)
    {
        const quota::naive_counter counter{quota, this->queue.now()};
        this->tenants.push_back({name, {}, counter, counter, quota.rate, quota.burst});
    }
    this->nodes.resize(this->zones.size() * static_cast<std::size_t>(this->options.daemons_per_zone));
    this->traffic.resize(this->nodes.size());
    for (std::size_t index = 0; index < this->nodes.size(); ++index)
    {
        this->nodes[index].index = index;
        this->nodes[index].zone = index % this->zones.size();
        this->traffic[index].resize(this->tenants.size());
        this->start(this->nodes[index]);
    }
}

void fleet_model::start(fleet_node& node)
{
    const std::int64_t drift = this->options.faults.clock_ppm;
    node.self = {.id = std::string{node_prefix} + std::to_string(node.index),
                 .incarnation = this->next_incarnation++};
    node.clock = {.started = this->queue.now(),
                  .ppm = drift == 0 ? 0
                                    : static_cast<std::int64_t>(
                                          this->source.below(static_cast<std::uint64_t>(2 * drift))) -
                                          drift};
    node.alive = true;
    node.paused_until = this->queue.now();
    node.held_back.clear();
    ++node.life;
    const std::size_t index = node.index;
    const std::uint64_t life = node.life;
    const std::string& zone = this->zones[node.zone];
    node.borrower = std::make_unique<quota::borrower<>>(node.self, zone);
    node.accounts.clear();
    node.waiting.assign(this->tenants.size(), {});
    for (const tenant_state& tenant : this->tenants)
    {
        node.accounts.push_back(node.borrower->attach(tenant.name));
    }
    node.agent = std::make_unique<zone_agent>(
        zone, node.self, this->options.authority, this->options.rate_margin_ppm, this->options.start_full,
        zone_agent::platform_port{.read = [this, index, life] { this->platform_read(index, life); },
                                  .write = [this, index, life](zone_record record, std::uint64_t if_version)
                                  { this->platform_write(index, life, std::move(record), if_version); },
                                  .zones_to_ask = [this] { return this->zones_with_record(); }});
    node.agent->configure(this->newest, this->local_now(node));
    this->queue.after(this->jitter(this->options.tick), [this, index, life] { this->tick(index, life); });
}

std::vector<std::string> fleet_model::zones_with_record() const
{
    std::vector<std::string> names;
    for (std::size_t zone = 0; zone < this->zones.size() && this->newest->revision > 1; ++zone)
    {
        if (this->records[zone].version > 0)
        {
            names.push_back(this->zones[zone]);
        }
    }
    return names;
}

void fleet_model::run_for(core::duration time)
{
    const core::time_point until = this->queue.now() + time;
    while (this->queue.step(until))
    {
        if (this->options.check)
        {
            this->check();
        }
    }
}

bool fleet_model::running(const fleet_node& node) const
{
    return node.alive && node.paused_until <= this->queue.now();
}

core::duration fleet_model::jitter(core::duration base)
{
    return base / 2 + core::duration{static_cast<std::int64_t>(
                          this->source.below(static_cast<std::uint64_t>(base.count()) + 1))};
}

void fleet_model::tick(std::size_t index, std::uint64_t life)
{
    fleet_node& node = this->nodes[index];
    if (!node.alive || node.life != life)
    {
        return;
    }
    if (!this->running(node))
    {
        this->queue.after(node.paused_until - this->queue.now(),
                          [this, index, life] { this->tick(index, life); });
        return;
    }
    while (!node.held_back.empty())
    {
        const message next = std::move(node.held_back.front());
        node.held_back.pop_front();
        this->handle(node, next);
    }
    this->poll_borrower(node);
    std::vector<quota::daemon_ref> peers;
    for (std::size_t other = node.zone; node.agent->lender() != nullptr && other < this->nodes.size();
         other += this->zones.size())
    {
        if (other != index && this->nodes[other].alive)
        {
            peers.push_back(this->nodes[other].self);
        }
    }
    this->send_promises(node, node.agent->poll(peers, this->source, this->local_now(node)));
    if (quota::lender* lender = node.agent->lender())
    {
        const auto started = this->processor_time();
        const quota::lender::output out = lender->poll(this->local_now(node));
        this->spent.lender_time += this->processor_time() - started;
        this->send_all(node, out);
    }
    this->queue.after(this->options.tick, [this, index, life] { this->tick(index, life); });
}

core::duration fleet_model::processor_time() const
{
    timespec value{};
    if (this->options.measure)
    {
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    }
    return std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec};
}

void fleet_model::poll_borrower(fleet_node& node)
{
    const auto started = this->processor_time();
    const auto request = node.borrower->poll(this->local_now(node));
    this->spent.borrower_time += this->processor_time() - started;
    if (request)
    {
        this->send_to_lender(node, *request);
    }
}

void fleet_model::handle(fleet_node& node, const message& received)
{
    const core::time_point now = this->local_now(node);
    if (const auto* request = std::get_if<quota::loan_request>(&received))
    {
        if (quota::lender* lender = node.agent->lender())
        {
            const auto started = this->processor_time();
            const quota::lender::output out = lender->receive(*request, now);
            this->spent.lender_time += this->processor_time() - started;
            this->send_all(node, out);
        }
    }
    else if (const auto* grant = std::get_if<quota::loan_grant>(&received))
    {
        if (grant->to_lender)
        {
            if (quota::lender* lender = node.agent->lender())
            {
                this->send_all(node, lender->receive(*grant, now));
            }
            return;
        }
        const auto started = this->processor_time();
        const auto woken = node.borrower->receive(*grant, now);
        this->spent.borrower_time += this->processor_time() - started;
        this->wake(node, woken);
        this->poll_borrower(node);
    }
    else if (const auto* ask = std::get_if<quota::promise_request>(&received))
    {
        if (const auto answer = node.agent->receive(*ask, now))
        {
            if (const auto to = this->find(answer->to))
            {
                this->send(node, *to, *answer);
            }
        }
    }
    else if (const auto* answer = std::get_if<quota::promise_answer>(&received))
    {
        node.agent->receive(*answer, now);
    }
    else if (const auto* passed_on = std::get_if<quota::handover>(&received))
    {
        node.agent->accept(*passed_on, now);
    }
}

void fleet_model::wake(fleet_node& node, const std::vector<std::string>& tenant_names)
{
    for (const std::string& name : tenant_names)
    {
        const auto found = std::find_if(this->tenants.begin(), this->tenants.end(),
                                        [&name](const tenant_state& entry) { return entry.name == name; });
        const auto tenant = static_cast<std::size_t>(found - this->tenants.begin());
        auto& waiting = node.waiting[tenant];
        while (!waiting.empty())
        {
            const auto decision = node.accounts[tenant]->with(
                [&](quota::tenant_bucket& bucket) { return bucket.retry_spend(this->local_now(node)); });
            if (decision.result == quota::spend_result::wait)
            {
                break;
            }
            this->count(*found, decision, waiting.front().naive_admitted);
            waiting.pop_front();
        }
    }
}

void fleet_model::set_traffic(std::size_t node, std::size_t tenant, double rate)
{
    auto& [current, generation] = this->traffic[node][tenant];
    current = rate;
    ++generation;
    this->schedule_arrival(node, tenant);
}

void fleet_model::schedule_arrival(std::size_t index, std::size_t tenant)
{
    const auto [rate, generation] = this->traffic[index][tenant];
    if (rate <= 0.0)
    {
        return;
    }
    const double gap_s = -std::log(1.0 - this->source.uniform()) / rate;
    this->queue.after(core::duration{static_cast<std::int64_t>(gap_s * 1e9)},
                      [this, index, tenant, scheduled = generation]
                      {
                          if (this->traffic[index][tenant].second == scheduled)
                          {
                              this->arrive(index, tenant);
                              this->schedule_arrival(index, tenant);
                          }
                      });
}

void fleet_model::arrive(std::size_t index, std::size_t tenant)
{
    fleet_node& node = this->nodes[index];
    if (!this->running(node))
    {
        return;
    }
    tenant_state& state = this->tenants[tenant];
    ++state.statistics.offered;
    const bool naive_admitted = state.naive.try_spend(this->queue.now());
    state.statistics.naive_admitted += naive_admitted ? 1 : 0;
    const auto decision = node.accounts[tenant]->with([&](quota::tenant_bucket& bucket)
                                                      { return bucket.try_spend(this->local_now(node)); });
    if (decision.result == quota::spend_result::wait)
    {
        ++state.statistics.waited;
        const std::uint64_t number = this->next_request++;
        node.waiting[tenant].push_back({number, naive_admitted});
        this->queue.after(longest_wait,
                          [this, index, tenant, number, life = node.life]
                          {
                              fleet_node& later = this->nodes[index];
                              auto& waiting = later.waiting[tenant];
                              if (later.life != life || waiting.empty() || waiting.front().number != number)
                              {
                                  return;
                              }
                              const auto refusal = later.accounts[tenant]->with(
                                  [&](quota::tenant_bucket& bucket)
                                  { return bucket.give_up(this->local_now(later)); });
                              this->count(this->tenants[tenant], refusal, waiting.front().naive_admitted);
                              waiting.pop_front();
                          });
    }
    else
    {
        this->count(state, decision, naive_admitted);
    }
    if (decision.notify)
    {
        this->poll_borrower(node);
    }
}

void fleet_model::count(tenant_state& tenant, const quota::spend_decision& decision, bool naive_admitted)
{
    if (decision.result == quota::spend_result::spent)
    {
        ++tenant.statistics.admitted;
        if (!tenant.reference.try_spend(this->queue.now()))
        {
            ++tenant.statistics.over_admitted;
            this->violate("tenant " + tenant.name + " admitted beyond its rate and burst");
        }
        return;
    }
    ++(decision.why == core::reason::rate_exceeded ? tenant.statistics.rate_exceeded
                                                   : tenant.statistics.quota_unavailable);
    tenant.statistics.wrongful += naive_admitted ? 1 : 0;
}

void fleet_model::configure(quota::quota_revision revision, core::duration slowest, double skipped)
{
    revision.revision = this->newest->revision + 1;
    this->newest = std::make_shared<const quota::quota_revision>(std::move(revision));
    for (tenant_state& tenant : this->tenants)
    {
        const auto found = this->newest->tenants.find(tenant.name);
        const quota::tenant_quota changed =
            found == this->newest->tenants.end() ? quota::tenant_quota{} : found->second;
        tenant.most_rate = greater(tenant.most_rate, changed.rate);
        tenant.most_burst = greater(tenant.most_burst, changed.burst);
        // While revisions change, the bound is the greatest rate and burst of any of them.
        tenant.reference.change({tenant.most_rate, tenant.most_burst}, this->queue.now());
        tenant.naive.change(changed, this->queue.now());
    }
    for (const fleet_node& node : this->nodes)
    {
        if (this->source.chance(skipped))
        {
            continue;
        }
        this->queue.after(this->jitter(slowest),
                          [this, index = node.index, adopted = this->newest]
                          {
                              fleet_node& later = this->nodes[index];
                              if (this->running(later))
                              {
                                  later.agent->configure(adopted, this->local_now(later));
                              }
                          });
    }
}

void fleet_model::reset_statistics()
{
    for (tenant_state& tenant : this->tenants)
    {
        tenant.statistics = {};
    }
    this->spent = {};
}

} // namespace laburnumreach::fleet
