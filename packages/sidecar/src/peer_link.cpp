#include "laburnumreach/sidecar/peer_link.hpp"

#include "laburnumreach/sidecar/call_reasons.hpp"
#include "laburnumreach/sidecar/read_frame.hpp"

namespace laburnumreach::sidecar
{

peer_link::peer_link(asio::io_context& context, member_record target_record, fleet_state& known_fleet,
                     std::shared_ptr<const peer_link_callbacks> link_callbacks, event_log& log,
                     body_memory* accounting_memory)
    : io(context),
      peer(std::move(target_record)),
      fleet(known_fleet),
      callbacks(std::move(link_callbacks)),
      events(log),
      memory(accounting_memory),
      disconnected_since(core::boot_clock::now())
{
}

void peer_link::update(const member_record& record)
{
    const bool restarted = record.started_ms != this->peer.started_ms;
    if (record.left && !this->left_since)
    {
        this->left_since = core::boot_clock::now();
        this->events.state_event("peer_left", {{"peer", record.daemon_id}});
    }
    else if (!record.left)
    {
        this->left_since.reset();
    }
    this->peer = record;
    if (restarted && this->state == phase::waiting)
    {
        this->connect();
    }
}

void peer_link::announce_departure()
{
    if (this->state == phase::connected)
    {
        this->stream->send(frame_type::members, members_message{.members = {this->fleet.own()}});
    }
}

bool peer_link::has_left_for(core::duration time, core::time_point now) const
{
    return this->left_since && now - *this->left_since >= time && this->state != phase::connected;
}

void peer_link::close()
{
    this->disconnect("removed");
}

void peer_link::connect()
{
    this->state = phase::connecting;
    this->phase_start = core::boot_clock::now();
    const std::uint64_t current = ++this->connect_attempt;
    this->connecting_socket = std::make_shared<tcp::socket>(this->io);
    const tcp::endpoint address = make_endpoint(this->peer.address, this->peer.peer_port);
    this->connecting_socket->async_connect(
        address,
        [self = this->shared_from_this(), current, socket = this->connecting_socket](const error_code& error)
        {
            if (self->connect_attempt == current && self->state == phase::connecting)
            {
                self->on_connected(error);
            }
        });
}

void peer_link::on_connected(const error_code& error)
{
    if (error)
    {
        this->disconnect(error.message());
        if (error == asio::error::connection_refused)
        {
            this->report_all_lost(); // No process listens there, so the process that held the calls has
                                     // ended.
        }
        return;
    }
    this->state = phase::handshake;
    this->phase_start = core::boot_clock::now();
    this->stream = std::make_shared<frame_stream>(std::move(*this->connecting_socket), this->memory);
    this->connecting_socket = nullptr;
    const std::weak_ptr<peer_link> weak = this->weak_from_this();
    const std::uint64_t current = this->connect_attempt;
    this->stream->set_drop_handler(
        [weak, current](frame_type, std::uint64_t call_id)
        {
            const auto self = weak.lock();
            if (self != nullptr && self->connect_attempt == current)
            {
                self->on_dropped_reply(call_id);
            }
        });
    this->stream->start(
        [weak, current](frame_type type, std::span<const std::uint8_t> body)
        {
            const auto self = weak.lock();
            if (self != nullptr && self->connect_attempt == current)
            {
                self->on_frame(type, body);
            }
        },
        [weak, current]
        {
            const auto self = weak.lock();
            if (self != nullptr && self->connect_attempt == current)
            {
                self->disconnect("closed");
            }
        });
    hello_message hello{
        .sender = this->fleet.own(), .pending_calls = {}, .receiver_started_ms = this->peer_incarnation};
    for (const auto& [id, reported] : this->open_calls)
    {
        hello.pending_calls.push_back(id);
    }
    this->stream->send(frame_type::hello, hello);
    this->send_departures(); // Before the first call, so that the other daemon knows whether it may start.
}

void peer_link::send_departures()
{
    if (this->state != phase::handshake && this->state != phase::connected)
    {
        return;
    }
    if (const auto departures = this->callbacks->departures_for(this->peer.daemon_id))
    {
        this->stream->send(frame_type::departures, *departures);
    }
}

void peer_link::on_frame(frame_type type, std::span<const std::uint8_t> body)
{
    if (this->fleet.handle(*this->stream, this->peer.daemon_id, type, body))
    {
        return;
    }
    switch (type)
    {
    case frame_type::welcome:
        if (const auto message = read_frame<welcome_message>(body, this->peer.daemon_id, this->events))
        {
            this->on_welcome(*message);
        }
        break;
    case frame_type::reply:
        if (auto message = read_frame<reply_message>(body, this->peer.daemon_id, this->events))
        {
            this->callbacks->on_status(this->peer.daemon_id, message->load);
            if (this->open_calls.erase(message->id) > 0)
            {
                this->callbacks->on_reply(std::move(*message));
            }
        }
        break;
    case frame_type::probe_reply:
        if (const auto message = read_frame<probe_reply_message>(body, this->peer.daemon_id, this->events))
        {
            this->on_probe_reply(*message);
        }
        break;
    case frame_type::token_grant:
        if (const auto message = read_frame<token_grant_message>(body, this->peer.daemon_id, this->events))
        {
            this->callbacks->on_token_grant(*message);
        }
        break;
    case frame_type::departures_held:
        if (const auto message =
                read_frame<departures_held_message>(body, this->peer.daemon_id, this->events))
        {
            this->callbacks->on_departures_held(this->peer.daemon_id, message->revision);
        }
        break;
    case frame_type::status:
        if (const auto message = read_frame<instance_status>(body, this->peer.daemon_id, this->events))
        {
            this->callbacks->on_status(this->peer.daemon_id, *message);
        }
        break;
    default:
        this->events.state_event("peer_unexpected_frame", {{"peer", this->peer.daemon_id}});
        this->disconnect("unexpected frame");
        break;
    }
}

/// Ends a call whose reply did not fit into the memory.
void peer_link::on_dropped_reply(std::uint64_t call_id)
{
    if (this->open_calls.erase(call_id) > 0)
    {
        this->callbacks->on_reply({.id = call_id,
                                   .kind = static_cast<std::uint8_t>(reply_kind::failed),
                                   .reason = std::string{call_reason::memory}});
    }
}

void peer_link::on_probe_reply(const probe_reply_message& reply)
{
    this->probe_outstanding = this->probe_outstanding && reply.sequence != this->probe_sequence;
    if (!reply.status.empty())
    {
        this->callbacks->on_status(this->peer.daemon_id, reply.status.front());
    }
    this->callbacks->on_ratios(this->peer.daemon_id, reply.ratios);
    this->fleet.reconcile(*this->stream, this->sync_state, this->peer.zone, reply.config_version,
                          reply.member_digest, core::boot_clock::now());
}

void peer_link::on_welcome(const welcome_message& welcome)
{
    if (welcome.sender.daemon_id != this->peer.daemon_id)
    {
        // The address was reassigned to another VM.
        this->disconnect("another daemon has the address");
        this->report_all_lost();
        return;
    }
    const bool same_process = welcome.sender.started_ms == this->peer_incarnation;
    if (!same_process)
    {
        this->report_all_lost();
    }
    this->peer_incarnation = welcome.sender.started_ms;
    this->state = phase::connected;
    this->phase_start = core::boot_clock::now();
    this->probe_outstanding = false;
    this->demand_tracker.reset();
    this->sync_state = {};
    this->last_probe_sent = {};
    for (auto& [id, reported] : this->open_calls)
    {
        reported = false;
    }
    this->events.state_event("peer_connected", {{"peer", this->peer.daemon_id},
                                                {"resumed_calls", std::to_string(this->open_calls.size())}});
    this->callbacks->on_status(this->peer.daemon_id, welcome.status);
    this->fleet.merge(std::span{&welcome.sender, 1});
}

void peer_link::send_call(const call_message& call)
{
    this->open_calls.emplace(call.id, false);
    this->stream->send(frame_type::call, call);
}

void peer_link::send_cancel(std::uint64_t call_id)
{
    // If the link is down, the next hello does not list the call, which cancels it too. One that has been
    // sent already does.
    const bool hello_sent = this->state == phase::connected || this->state == phase::handshake;
    if (this->open_calls.erase(call_id) > 0 && hello_sent)
    {
        this->stream->send(frame_type::cancel, cancel_message{.id = call_id});
    }
}

void peer_link::send_token_request(const token_request_message& request)
{
    if (this->state == phase::connected)
    {
        this->stream->send(frame_type::token_request, request);
    }
}

void peer_link::tick(core::time_point now)
{
    constexpr core::duration quick_reconnect_time = std::chrono::seconds{10}; // A restart takes less.
    switch (this->state)
    {
    case phase::waiting:
        if (now - this->phase_start >
            (this->has_left_for(quick_reconnect_time, now) ? departed_reconnect_delay : reconnect_delay))
        {
            this->connect();
        }
        break;
    case phase::connecting:
    case phase::handshake:
        if (now - this->phase_start > connect_timeout)
        {
            this->disconnect("connect timed out");
        }
        break;
    case phase::connected:
        if (this->probe_outstanding && now - this->last_probe_sent > silence_timeout &&
            this->stream->last_received() < this->last_probe_sent)
        {
            this->disconnect("silent");
            this->connect();
        }
        else if (!this->probe_outstanding &&
                 (this->probe_requested || now - this->last_probe_sent > probe_interval))
        {
            this->send_probe(now);
        }
        return;
    }
    if (now - this->disconnected_since > stall_timeout)
    {
        std::vector<std::uint64_t> stalled;
        for (auto& [id, reported] : this->open_calls)
        {
            if (!std::exchange(reported, true))
            {
                stalled.push_back(id);
            }
        }
        for (const std::uint64_t id : stalled)
        {
            this->callbacks->on_call_stalled(id);
        }
    }
}

void peer_link::send_probe(core::time_point now)
{
    this->last_probe_sent = now;
    this->probe_outstanding = true;
    this->probe_requested = false;
    probe_message probe{.sequence = ++this->probe_sequence,
                        .config_version = this->fleet.config_version(),
                        .member_digest = this->fleet.digest(),
                        .store_works = this->callbacks->store_works(),
                        .tokens = this->callbacks->take_tokens_for(this->peer.daemon_id)};
    if (std::optional<demand_report> report = this->callbacks->demand_report_for(this->peer.zone))
    {
        if (std::exchange(this->last_report_covers_zone, report->covers_zone) != report->covers_zone)
        {
            this->demand_tracker.reset();
        }
        report->customers = this->demand_tracker.take_changes(report->customers);
        probe.demand.push_back(std::move(*report));
    }
    this->stream->send(frame_type::probe, probe);
}

void peer_link::disconnect(std::string_view cause)
{
    if (this->state == phase::connected)
    {
        this->disconnected_since = core::boot_clock::now();
        this->events.state_event("peer_disconnected",
                                 {{"peer", this->peer.daemon_id}, {"cause", std::string{cause}}});
        this->callbacks->on_status(this->peer.daemon_id, {});
    }
    ++this->connect_attempt;
    if (this->connecting_socket != nullptr)
    {
        error_code ignored; // The socket is discarded in any case.
        this->connecting_socket->close(ignored);
        this->connecting_socket = nullptr;
    }
    if (this->stream != nullptr)
    {
        this->stream->close();
        this->stream = nullptr;
    }
    // After the loss of an established connection the daemon may still be reachable, so reconnect without
    // delay.
    this->phase_start = this->state == phase::connected ? core::time_point{} : core::boot_clock::now();
    this->state = phase::waiting;
}

void peer_link::report_all_lost()
{
    const auto lost = std::exchange(this->open_calls, {});
    for (const auto& [id, reported] : lost)
    {
        this->callbacks->on_call_lost(id);
    }
}

} // namespace laburnumreach::sidecar
