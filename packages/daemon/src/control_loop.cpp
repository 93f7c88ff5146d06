#include "laburnumreach/daemon/control_loop.hpp"

#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/daemon/log.hpp"
#include "laburnumreach/daemon/random_id.hpp"
#include "laburnumreach/protocol/claim_messages.hpp"
#include "laburnumreach/protocol/configuration_messages.hpp"
#include "laburnumreach/protocol/membership_messages.hpp"
#include "laburnumreach/protocol/quota_messages.hpp"

#include <array>
#include <chrono>
#include <poll.h>

namespace laburnumreach::daemon
{

namespace
{

constexpr core::duration tick_interval = std::chrono::milliseconds{20};
/// Messages handled before the timers run again, so that a flood cannot stop them.
constexpr int receive_batch = 256;

std::string listen_address(const config::daemon_settings& settings, std::uint16_t port)
{
    return config::to_string(config::endpoint{.address = settings.listen.address, .port = port});
}

membership::member_record make_own_record(const config::daemon_settings& settings, std::uint64_t incarnation)
{
    const auto wall_clock = std::chrono::system_clock::now().time_since_epoch();
    return {.id = settings.id,
            .incarnation = incarnation,
            .version = static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(wall_clock).count()),
            .zone = settings.zone,
            .region = settings.region,
            .control_address = listen_address(settings, settings.listen.control),
            .peer_address = listen_address(settings, settings.listen.peers),
            .caller_address = listen_address(settings, settings.listen.callers)};
}

membership::gossip_options make_gossip_options(const config::daemon_settings& settings)
{
    membership::gossip_options options;
    for (const config::endpoint& seed : settings.seeds)
    {
        options.seeds.push_back(config::to_string(seed));
    }
    return options;
}

platform::http_object_store_options make_store_options(const config::daemon_settings& settings)
{
    return {.address = settings.platform.address.address,
            .port = settings.platform.address.port,
            .request_timeout = settings.platform.request_timeout,
            .daemon_id = settings.id,
            .zone = settings.zone};
}

} // namespace

control_loop::control_loop(daemon_state& shared, std::unique_ptr<protocol::control_transport> open_transport)
    : state(shared),
      self{.id = shared.settings.id, .incarnation = shared.incarnation},
      events(shared.events),
      transport(std::move(open_transport)),
      members(make_gossip_options(shared.settings), make_own_record(shared.settings, shared.incarnation),
              core::random_source{make_random_number()}, core::boot_clock::now()),
      borrower(this->self, shared.settings.zone),
      zone({.zone = shared.settings.zone, .self = this->self}, core::random_source{make_random_number()}),
      started_at(core::boot_clock::now())
{
    shared.process_is_running = [this](const idempotency::process_id& process)
    { return this->is_running(process); };
    const platform::http_object_store_options store = make_store_options(shared.settings);
    this->lease_worker = std::make_unique<platform_worker>("zone-lease", store);
    this->claim_worker = std::make_unique<platform_worker>("claims", store);
    const config_watcher::listener listener{
        .on_document =
            [this](config::config_document document)
        {
            this->events.post([this, document = std::move(document)]
                              { this->apply(core::boot_clock::now(), document); });
        },
        .on_platform_reached = [this]
        { this->events.post([this] { this->members.record_platform_contact(core::boot_clock::now()); }); }};
    this->watcher = std::make_unique<config_watcher>(store, make_random_number(), listener);
    this->status_text.store(std::make_shared<const std::string>("{}"));
}

control_loop::~control_loop()
{
    this->stop();
}

void control_loop::start()
{
    this->thread =
        core::posix_thread{{.name = "control", .stack_bytes = 1024 * 1024}, [this] { this->run(); }};
}

void control_loop::stop()
{
    this->stopping.store(true);
    this->events.wake();
    this->thread.join();
    // The workers post to the event queue, so they end before it does.
    this->watcher.reset();
    this->lease_worker.reset();
    this->claim_worker.reset();
}

void control_loop::begin_leave()
{
    this->events.post(
        [this]
        {
            this->leaving = true;
            this->update_own_record(core::boot_clock::now());
            this->send_quota(this->zone.stop(core::boot_clock::now()));
        });
}

void control_loop::announce_left()
{
    this->events.post(
        [this]
        {
            const core::time_point now = core::boot_clock::now();
            this->left = true;
            if (const auto request = this->borrower.release(now))
            {
                this->send_quota(
                    {{.receiver = {}, .lender_zone = request->lender_zone, .message = *request}});
            }
            this->send_gossip(this->members.leave(now));
        });
}

void control_loop::run()
{
    while (!this->stopping.load())
    {
        this->wait_for_work();
        this->events.run();
        const core::time_point now = core::boot_clock::now();
        this->receive_messages(now);
        this->poll_quota(core::boot_clock::now());
        this->send_claims();
        if (core::boot_clock::now() >= this->next_tick_at)
        {
            this->tick(core::boot_clock::now());
            this->next_tick_at = core::boot_clock::now() + tick_interval;
        }
    }
}

void control_loop::wait_for_work()
{
    std::array<pollfd, 2> descriptors{
        pollfd{.fd = this->events.descriptor(), .events = POLLIN, .revents = 0},
        pollfd{.fd = this->transport->receive_descriptor(), .events = POLLIN, .revents = 0}};
    const core::duration left = std::max(this->next_tick_at - core::boot_clock::now(), core::duration{0});
    const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    ::poll(descriptors.data(), descriptors.size(), static_cast<int>(timeout));
}

void control_loop::tick(core::time_point now)
{
    this->send_gossip(this->members.tick(now));
    for (const std::string& address : this->members.take_unresponsive_addresses())
    {
        this->transport->reset(address);
    }
    this->state.gateway.tick(now);
    this->state.metrics.silent_connections.fetch_add(this->state.watch.cancel_silent(now));
    this->state.claims.tick(now);
    this->update_own_record(now);
    this->update_members(now);
    this->update_zone_roles(now);
    this->update_config_source(now);
    this->update_key_freshness(now);
    this->request_configuration(now);
    this->run_platform_calls(now);
    this->publish_status(now);
}

void control_loop::receive_messages(core::time_point now)
{
    std::vector<std::uint8_t> message;
    for (int count = 0; count < receive_batch && this->transport->receive(message); ++count)
    {
        const auto envelope = protocol::verify_and_decode(message, this->state.authenticator);
        const bool addressed =
            envelope && (envelope->receiver.empty() || envelope->receiver == this->self.id);
        if (!addressed)
        {
            this->state.metrics.control_messages_refused.fetch_add(1);
            continue;
        }
        this->handle(now, *envelope);
    }
}

void control_loop::handle(core::time_point now, const protocol::control_envelope& envelope)
{
    switch (static_cast<protocol::control_kind>(envelope.kind))
    {
    case protocol::control_kind::membership:
        if (const auto message = protocol::decode_message<membership::gossip_message>(envelope.body))
        {
            this->send_gossip(this->members.receive(now, envelope.sender, envelope.sender_address, *message));
        }
        return;
    case protocol::control_kind::quota:
        this->handle_quota(now, envelope);
        return;
    case protocol::control_kind::configuration_request:
        this->handle_configuration_request(envelope);
        return;
    case protocol::control_kind::configuration_reply:
        this->handle_configuration_reply(now, envelope);
        return;
    case protocol::control_kind::claim:
        if (const auto message = protocol::decode_variant<idempotency::claim_message>(envelope.body))
        {
            this->state.claims.receive(now, *message);
        }
        return;
    }
    this->state.metrics.control_messages_refused.fetch_add(1);
}

void control_loop::handle_configuration_request(const protocol::control_envelope& envelope)
{
    const auto request = protocol::decode_message<protocol::configuration_request>(envelope.body);
    if (request && this->known_revision > request->known_revision)
    {
        this->send(envelope.sender_address, envelope.sender, protocol::control_kind::configuration_reply,
                   protocol::encode_message(protocol::configuration_reply{.document = this->document_text}));
    }
}

void control_loop::handle_configuration_reply(core::time_point now,
                                              const protocol::control_envelope& envelope)
{
    const auto reply = protocol::decode_message<protocol::configuration_reply>(envelope.body);
    if (!reply)
    {
        return;
    }
    if (const auto document = config::decode_config_document(reply->document))
    {
        this->apply(now, *document);
    }
}

void control_loop::handle_quota(core::time_point now, const protocol::control_envelope& envelope)
{
    const auto message = protocol::decode_variant<protocol::quota_message>(envelope.body);
    if (!message)
    {
        return;
    }
    const auto* grant = std::get_if<quota::loan_grant>(&*message);
    if (grant != nullptr && !grant->to_lender)
    {
        for (const std::string& tenant : this->borrower.receive(*grant, now))
        {
            if (const auto found = this->quotas.find(tenant); found != this->quotas.end())
            {
                found->second->wake();
            }
        }
        return;
    }
    this->send_quota(this->zone.receive(now, *message));
}

void control_loop::send(std::string_view address, std::string_view receiver, protocol::control_kind kind,
                        std::vector<std::uint8_t> body)
{
    const protocol::control_envelope envelope{.kind = static_cast<std::uint32_t>(kind),
                                              .sender = this->self.id,
                                              .sender_incarnation = this->self.incarnation,
                                              .sender_address = this->members.own_record().control_address,
                                              .receiver = std::string{receiver},
                                              .body = std::move(body)};
    this->transport->send(address, protocol::encode_and_sign(envelope, this->state.authenticator));
}

void control_loop::send_gossip(const std::vector<membership::outgoing_gossip>& messages)
{
    for (const membership::outgoing_gossip& outgoing : messages)
    {
        this->send(outgoing.address, {}, protocol::control_kind::membership,
                   protocol::encode_message(outgoing.message));
    }
}

void control_loop::send_quota(const zone_keeper::outbox& messages)
{
    for (const outgoing_quota_message& outgoing : messages)
    {
        const membership::member_record* receiver = nullptr;
        if (!outgoing.receiver.id.empty())
        {
            const membership::table_entry* entry = this->members.table().find(outgoing.receiver.id);
            receiver = entry == nullptr ? nullptr : &entry->record;
        }
        else
        {
            receiver = this->zone_lender(outgoing.lender_zone);
        }
        if (receiver == nullptr)
        {
            continue;
        }
        if (receiver->id == this->self.id)
        {
            protocol::control_envelope own{.sender = this->self.id,
                                           .body = protocol::encode_variant(outgoing.message)};
            this->events.post([this, own = std::move(own)]
                              { this->handle_quota(core::boot_clock::now(), own); });
            continue;
        }
        this->send(receiver->control_address, receiver->id, protocol::control_kind::quota,
                   protocol::encode_variant(outgoing.message));
    }
}

void control_loop::send_claims()
{
    claim_gate::outbox out = this->state.claims.take_outbox();
    while (!out.messages.empty() || !out.calls.empty())
    {
        for (const idempotency::outgoing_claim_message& outgoing : out.messages)
        {
            if (outgoing.daemon == this->self.id)
            {
                this->state.claims.receive(core::boot_clock::now(), outgoing.message);
                continue;
            }
            const membership::table_entry* entry = this->members.table().find(outgoing.daemon);
            if (entry != nullptr)
            {
                this->send(entry->record.control_address, outgoing.daemon, protocol::control_kind::claim,
                           protocol::encode_variant(outgoing.message));
            }
        }
        for (const idempotency::store_call& call : out.calls)
        {
            this->post_claim_call(call);
        }
        out = this->state.claims.take_outbox();
    }
}

void control_loop::poll_quota(core::time_point now)
{
    // A leaving daemon borrows on, since it serves its callers until the end of the drain.
    const auto request = this->left ? std::nullopt : this->borrower.poll(now);
    if (request)
    {
        this->send_quota({{.receiver = {}, .lender_zone = request->lender_zone, .message = *request}});
    }
    this->send_quota(this->zone.poll(now));
}

const membership::member_record* control_loop::zone_lender(std::string_view zone_name) const
{
    const membership::member_record* lender = nullptr;
    for (const auto& [id, entry] : this->members.table().entries())
    {
        const membership::member_record& member = entry.record;
        const bool usable = member.state == membership::member_state::alive ||
                            member.state == membership::member_state::suspect;
        if (member.zone == zone_name && usable && member.lender_epoch > 0 &&
            (lender == nullptr || member.lender_epoch > lender->lender_epoch))
        {
            lender = &member;
        }
    }
    return lender;
}

bool control_loop::is_running(const idempotency::process_id& process) const
{
    const membership::table_entry* entry = this->members.table().find(process.daemon);
    return entry != nullptr && entry->record.incarnation == process.incarnation &&
           (entry->record.state == membership::member_state::alive ||
            entry->record.state == membership::member_state::suspect);
}

} // namespace laburnumreach::daemon
