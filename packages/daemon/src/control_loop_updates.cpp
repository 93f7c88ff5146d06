#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/config/fleet_config_toml.hpp"
#include "laburnumreach/daemon/control_loop.hpp"
#include "laburnumreach/daemon/log.hpp"
#include "laburnumreach/protocol/configuration_messages.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace laburnumreach::daemon
{

namespace
{

/// Daemons of a zone that read the zone record and may take it over: the lender, its successor and one more.
constexpr std::size_t zone_candidates = 3;
/// A starting daemon waits this long for a peer's configuration before it reads the platform.
constexpr core::duration peer_configuration_wait = std::chrono::seconds{1};
constexpr core::duration lonely_after = std::chrono::seconds{2};
constexpr core::duration request_interval = std::chrono::milliseconds{200};
constexpr core::duration status_interval = std::chrono::milliseconds{500};

std::int64_t to_micro_tokens(double tokens)
{
    return static_cast<std::int64_t>(
        std::llround(tokens * static_cast<double>(quota::micro_tokens_per_token)));
}

std::shared_ptr<const quota::quota_revision> to_quota_revision(const config::fleet_config& config,
                                                               std::uint64_t revision)
{
    auto quotas = std::make_shared<quota::quota_revision>();
    quotas->revision = revision;
    quotas->zones = config.zones;
    for (const config::tenant_config& tenant : config.tenants)
    {
        quotas->tenants[tenant.name] = {.rate = to_micro_tokens(tenant.rate),
                                        .burst = to_micro_tokens(tenant.burst)};
    }
    return quotas;
}

idempotency::store_status to_store_status(const core::error& error)
{
    switch (error.code)
    {
    case core::error_code::not_found:
        return idempotency::store_status::not_found;
    case core::error_code::conflict:
        return idempotency::store_status::conflict;
    case core::error_code::outcome_unknown:
        return idempotency::store_status::outcome_unknown;
    default:
        return idempotency::store_status::unavailable;
    }
}

idempotency::store_result make_claim_call(platform::http_object_store& store,
                                          const idempotency::store_call& call)
{
    idempotency::store_result result{.id = call.id};
    if (call.kind == idempotency::store_call_kind::read)
    {
        auto object = store.get(call.object);
        result.status = object ? idempotency::store_status::ok : to_store_status(object.error());
        if (object)
        {
            result.version = object->version;
            result.value = std::move(object->value);
        }
        return result;
    }
    const platform::write_condition condition =
        call.expected_version == 0 ? std::nullopt : platform::write_condition{call.expected_version};
    const auto version = store.put_if(call.object, condition, call.value);
    result.status = version ? idempotency::store_status::ok : to_store_status(version.error());
    result.version = version.value_or(0);
    return result;
}

bool is_live(const membership::member_record& member)
{
    return member.state == membership::member_state::alive ||
           member.state == membership::member_state::suspect;
}

} // namespace

void control_loop::update_own_record(core::time_point now)
{
    upstream_state upstream = this->state.gateway.state();
    if (this->leaving && upstream.state != membership::instance_state::none)
    {
        upstream.state = membership::instance_state::draining;
    }
    const std::uint64_t lender_epoch = this->zone.lender_epoch(now);
    this->send_gossip(this->members.update_self(now,
                                                [&](membership::member_record& record)
                                                {
                                                    record.service = upstream.service;
                                                    record.instance = upstream.instance;
                                                    record.slots = upstream.slots;
                                                    record.upstream = upstream.state;
                                                    record.lender_epoch = lender_epoch;
                                                }));
}

void control_loop::update_members(core::time_point now)
{
    const membership::member_table& table = this->members.table();
    if (table.hash() == this->known_table_hash)
    {
        return;
    }
    this->known_table_hash = table.hash();
    const auto config = this->state.configuration();
    this->state.destinations.update(now, table, config ? &config->index() : nullptr);

    std::vector<std::string> claim_members;
    std::map<std::string, http::endpoint, std::less<>> addresses;
    for (const auto& [id, entry] : table.entries())
    {
        if (entry.record.state == membership::member_state::alive)
        {
            claim_members.push_back(id);
        }
        if (const auto peer = config::parse_endpoint(entry.record.peer_address))
        {
            addresses[id] = {.address = peer->address, .port = peer->port};
        }
    }
    this->state.claims.set_members(claim_members);
    this->state.peer_addresses.replace(std::move(addresses));
}

void control_loop::update_zone_roles(core::time_point now)
{
    std::vector<quota::daemon_ref> others;
    std::vector<std::string> addresses;
    std::size_t rank = 0;
    for (const auto& [id, entry] : this->members.table().entries())
    {
        const membership::member_record& member = entry.record;
        if (member.zone != this->state.settings.zone || !is_live(member))
        {
            continue;
        }
        addresses.push_back(member.control_address);
        if (id == this->self.id)
        {
            rank = others.size();
            continue;
        }
        if (member.state == membership::member_state::alive)
        {
            others.push_back({.id = id, .incarnation = member.incarnation});
        }
    }
    const bool lender = this->zone.lender_epoch(now) > 0;
    // Without a configuration there is nothing to lend, and a joining daemon may not know its zone's members
    // yet.
    const bool informed = this->known_revision > 0 && now - this->started_at > peer_configuration_wait;
    const bool wanted = lender || this->zone.is_successor() || (informed && rank < zone_candidates);
    this->zone.set_candidate(wanted && !this->leaving);
    this->zone.set_zone_members(std::move(others), std::move(addresses));
    this->released.store(this->zone.stopped());
}

void control_loop::update_config_source(core::time_point now)
{
    const bool lonely = this->members.peer_contact_age(now) > lonely_after;
    const bool uninformed = this->known_revision == 0 && now - this->started_at > peer_configuration_wait;
    config_source source = config_source::peers;
    if (this->zone.lender_epoch(now) > 0)
    {
        source = config_source::watch;
    }
    else if (lonely || uninformed || this->zone_lender(this->state.settings.zone) == nullptr)
    {
        source =
            lonely || uninformed || this->zone.is_candidate() ? config_source::poll : config_source::peers;
    }
    this->watcher->set_source(source);
}

void control_loop::update_key_freshness(core::time_point now)
{
    const config::limit_settings& limits = this->state.settings.limits;
    const core::duration platform_age = this->members.platform_contact_age(now);
    const bool isolated =
        platform_age > limits.isolation_limit && this->members.peer_contact_age(now) > limits.isolation_limit;
    const bool verifiable = !isolated && platform_age <= limits.key_staleness_limit;
    if (this->state.keys_verifiable.exchange(verifiable) != verifiable)
    {
        log_line(config::log_level::warning, verifiable ? "keys_verifiable" : "keys_unverifiable");
    }
}

void control_loop::request_configuration(core::time_point now)
{
    const auto& source = this->members.configuration_source();
    if (!source || now < this->next_request_at || source->revision <= this->rejected_revision)
    {
        return;
    }
    this->next_request_at = now + request_interval;
    this->send(
        source->address, {}, protocol::control_kind::configuration_request,
        protocol::encode_message(protocol::configuration_request{.known_revision = this->known_revision}));
}

void control_loop::apply(core::time_point now, const config::config_document& document)
{
    // A stale read or a repeated event must not bring back an older configuration, such as a withdrawn key.
    if (document.revision <= this->known_revision || document.revision <= this->rejected_revision)
    {
        return;
    }
    const auto parsed = config::parse_fleet_config(document.text);
    const auto encoded = config::encode(document);
    if (!parsed || !encoded)
    {
        this->rejected_revision = document.revision;
        log_line(config::log_level::error, "configuration_rejected",
                 {{"revision", std::to_string(document.revision)},
                  {"error", parsed ? encoded.error().message : config::to_string(parsed.error())}});
        return;
    }
    std::vector<std::shared_ptr<tenant_quota>> tenant_quotas;
    std::map<std::string, std::shared_ptr<tenant_quota>> named_quotas;
    for (const config::tenant_config& tenant : parsed->tenants)
    {
        std::shared_ptr<tenant_quota>& entry = this->quotas[tenant.name];
        if (!entry)
        {
            entry = std::make_shared<tenant_quota>(this->borrower.attach(tenant.name),
                                                   [this] { this->events.wake(); });
        }
        tenant_quotas.push_back(entry);
        named_quotas[tenant.name] = entry;
    }
    for (const auto& [name, entry] : this->quotas)
    {
        if (!named_quotas.contains(name))
        {
            this->borrower.detach(name);
        }
    }
    this->quotas = std::move(named_quotas);
    const auto config = std::make_shared<const runtime_config>(
        std::make_unique<config::fleet_index>(*parsed, document.revision), document.text,
        std::move(tenant_quotas), this->state.names);
    this->state.current_config.store(config);
    this->known_revision = document.revision;
    this->document_text = *encoded;
    this->state.gateway.set_drained(config->index().is_drained(this->state.gateway.state().instance));
    this->known_table_hash = 0;
    this->update_members(now);
    const std::size_t cancelled = this->state.entry_calls.cancel_withdrawn(config->index());
    this->state.metrics.withdrawn_calls.fetch_add(cancelled);
    this->zone.configure(now, to_quota_revision(*parsed, document.revision));
    this->send_gossip(this->members.set_configuration_revision(now, document.revision));
    log_line(
        config::log_level::info, "configuration_in_force",
        {{"revision", std::to_string(document.revision)}, {"cancelled_calls", std::to_string(cancelled)}});
}

void control_loop::run_platform_calls(core::time_point now)
{
    const std::optional<platform::zone_call> call = this->zone.next_platform_call(now);
    if (!call)
    {
        return;
    }
    this->lease_worker->post(
        [this, call = *call](platform::http_object_store& store)
        {
            if (call.type == platform::zone_call::kind::read)
            {
                auto result = store.get(call.name);
                this->events.post(
                    [this, result = std::move(result)]
                    {
                        const core::time_point arrived = core::boot_clock::now();
                        if (result || result.error().code == core::error_code::not_found)
                        {
                            this->members.record_platform_contact(arrived);
                        }
                        this->zone.on_read(arrived, result);
                    });
                return;
            }
            auto result = store.put_if(call.name, call.condition, call.value);
            this->events.post(
                [this, result = std::move(result)]
                {
                    const core::time_point arrived = core::boot_clock::now();
                    if (result)
                    {
                        this->members.record_platform_contact(arrived);
                    }
                    this->zone.on_write(arrived, result);
                });
        });
}

void control_loop::post_claim_call(const idempotency::store_call& call)
{
    this->claim_worker->post(
        [this, call](platform::http_object_store& store)
        {
            idempotency::store_result result = make_claim_call(store, call);
            this->events.post(
                [this, result = std::move(result)]
                {
                    const core::time_point arrived = core::boot_clock::now();
                    if (result.status != idempotency::store_status::unavailable &&
                        result.status != idempotency::store_status::outcome_unknown)
                    {
                        this->members.record_platform_contact(arrived);
                    }
                    this->state.claims.complete(arrived, result);
                });
        });
}

void control_loop::publish_status(core::time_point now)
{
    if (now < this->next_status_at)
    {
        return;
    }
    this->next_status_at = now + status_interval;
    this->state.pool.close_expired(now);
    const protocol::control_transport_counters& traffic = this->transport->counters();
    nlohmann::json members_json = nlohmann::json::array();
    for (const auto& [id, entry] : this->members.table().entries())
    {
        const membership::member_record& member = entry.record;
        members_json.push_back({{"id", id},
                                {"zone", member.zone},
                                {"state", static_cast<int>(member.state)},
                                {"service", member.service},
                                {"instance", member.instance},
                                {"accepts_work", membership::accepts_work(member)},
                                {"callers", member.caller_address},
                                {"lender_epoch", member.lender_epoch}});
    }
    const nlohmann::json status{
        {"id", this->self.id},
        {"zone", this->state.settings.zone},
        {"region", this->state.settings.region},
        {"incarnation", this->self.incarnation},
        {"configuration_revision", this->known_revision},
        {"lender_epoch", this->zone.lender_epoch(now)},
        {"draining", this->state.draining.load()},
        {"platform_contact_age_s", core::to_seconds(this->members.platform_contact_age(now))},
        {"control_bytes_sent", traffic.bytes_sent},
        {"control_bytes_received", traffic.bytes_received},
        {"control_messages_sent", traffic.messages_sent},
        {"control_messages_dropped", traffic.messages_dropped},
        {"members", members_json}};
    this->status_text.store(std::make_shared<const std::string>(status.dump()));
}

} // namespace laburnumreach::daemon
