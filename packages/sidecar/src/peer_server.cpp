#include "laburnumreach/sidecar/peer_server.hpp"

#include "laburnumreach/sidecar/call_reasons.hpp"
#include "laburnumreach/sidecar/read_frame.hpp"

#include <algorithm>
#include <unordered_set>

namespace laburnumreach::sidecar
{

peer_server::peer_server(instance_dispatcher& call_dispatcher, fleet_state& known_fleet, event_log& log,
                         callbacks owner_callbacks, peer_server_options chosen_limits)
    : dispatcher(call_dispatcher),
      fleet(known_fleet),
      events(log),
      handlers(std::move(owner_callbacks)),
      limits(chosen_limits)
{
}

void peer_server::accept(tcp::socket socket)
{
    const core::time_point now = core::boot_clock::now();
    this->close_new_connections(now, this->max_new_connections() - 1);
    const auto stream = std::make_shared<frame_stream>(std::move(socket), this->limits.memory);
    const auto daemon_id = std::make_shared<std::string>();
    const std::weak_ptr<frame_stream> weak = stream;
    this->new_connections.push_back({.stream = weak, .accepted = now});
    stream->set_silence_timeout(silence_timeout);
    stream->set_frame_limit(max_hello_bytes);
    stream->set_drop_handler([this, daemon_id](frame_type, std::uint64_t call_id)
                             { this->on_dropped_call(*daemon_id, call_id); });
    stream->start(
        [this, weak, daemon_id](frame_type type, std::span<const std::uint8_t> body)
        {
            if (const auto locked = weak.lock())
            {
                this->on_frame(locked, *daemon_id, type, body);
            }
        },
        [this, weak, daemon_id]
        {
            const auto found = this->sessions.find(*daemon_id);
            if (found != this->sessions.end() && found->second.stream == weak.lock())
            {
                found->second.stream = nullptr;
                found->second.disconnected_since = core::boot_clock::now();
            }
        });
}

/// Returns how many connections may be without a hello message. When a fleet starts, all daemons connect at
/// once.
std::size_t peer_server::max_new_connections() const
{
    const std::size_t most = this->limits.max_connections;
    return std::max(most - std::min(most, this->connected_sessions), min_new_connections);
}

/// Closes connections whose hello message is late, and the oldest ones above a number.
void peer_server::close_new_connections(core::time_point now, std::size_t most)
{
    std::erase_if(this->new_connections,
                  [](const new_connection& entry)
                  {
                      const auto stream = entry.stream.lock();
                      return stream == nullptr || !stream->is_open();
                  });
    while (!this->new_connections.empty() && (this->new_connections.size() > most ||
                                              now - this->new_connections.front().accepted > hello_timeout))
    {
        if (const auto stream = this->new_connections.front().stream.lock())
        {
            this->handlers.on_limit("peer_hello");
            stream->close();
        }
        this->new_connections.pop_front();
    }
}

/// Returns whether a daemon that says hello is served: all that are known, and others up to the limits.
bool peer_server::accepts_daemon(const std::string& daemon_id) const
{
    const auto known = this->sessions.find(daemon_id);
    if (known == this->sessions.end())
    {
        return this->sessions.size() < max_sessions &&
               this->connected_sessions < this->limits.max_connections;
    }
    return known->second.stream != nullptr || this->connected_sessions < this->limits.max_connections;
}

void peer_server::on_frame(const std::shared_ptr<frame_stream>& stream, std::string& daemon_id,
                           frame_type type, std::span<const std::uint8_t> body)
{
    if (type == frame_type::hello)
    {
        if (const auto message = read_frame<hello_message>(body, daemon_id, this->events))
        {
            this->on_hello(stream, daemon_id, *message);
        }
        return;
    }
    const auto found = this->sessions.find(daemon_id);
    if (found == this->sessions.end() || found->second.stream != stream)
    {
        stream->close(); // No hello, or replaced by a newer connection.
        return;
    }
    if (this->fleet.handle(*stream, daemon_id, type, body))
    {
        return;
    }
    if (type == frame_type::call)
    {
        if (auto message = read_frame<call_message>(body, daemon_id, this->events))
        {
            this->on_call(daemon_id, std::move(*message));
        }
    }
    else if (type == frame_type::cancel)
    {
        if (const auto message = read_frame<cancel_message>(body, daemon_id, this->events))
        {
            this->cancel_call(found->second, message->id);
        }
    }
    else if (type == frame_type::token_request)
    {
        if (const auto message = read_frame<token_request_message>(body, daemon_id, this->events))
        {
            stream->send(frame_type::token_grant, this->handlers.on_token_request(*message));
        }
    }
    else if (type == frame_type::departures)
    {
        if (const auto message = read_frame<departures_message>(body, daemon_id, this->events))
        {
            this->handlers.on_departures(found->second.sender, *message);
            stream->send(frame_type::departures_held, departures_held_message{.revision = message->revision});
        }
    }
    else if (type == frame_type::probe)
    {
        if (const auto message = read_frame<probe_message>(body, daemon_id, this->events))
        {
            this->on_probe(found->second, *message);
        }
    }
}

void peer_server::on_probe(session& peer, const probe_message& probe)
{
    const core::time_point now = core::boot_clock::now();
    this->handlers.on_probe(peer.sender, probe);
    probe_reply_message reply{.sequence = probe.sequence,
                              .config_version = this->fleet.config_version(),
                              .member_digest = this->fleet.digest(),
                              .status = {},
                              .ratios = peer.ratio_tracker.take_changes(this->handlers.ratios())};
    if (const instance_status status = this->dispatcher.status();
        peer.status_tracker.should_send(status, now))
    {
        reply.status.push_back(status);
    }
    peer.stream->send(frame_type::probe_reply, reply);
    this->fleet.reconcile(*peer.stream, peer.sync_state, peer.sender.zone, probe.config_version,
                          probe.member_digest, now);
}

void peer_server::on_hello(const std::shared_ptr<frame_stream>& stream, std::string& daemon_id,
                           const hello_message& hello)
{
    if (!this->accepts_daemon(hello.sender.daemon_id))
    {
        this->handlers.on_limit("peer_connections");
        stream->close();
        return;
    }
    session& peer = this->sessions[hello.sender.daemon_id];
    if (hello.sender.started_ms < peer.sender.started_ms)
    {
        stream->close();
        return;
    }
    daemon_id = hello.sender.daemon_id;
    if (hello.sender.started_ms > peer.sender.started_ms)
    {
        this->cancel_all_calls(peer);
        this->recent_replies.remove_all(daemon_id);
        peer = {};
    }
    peer.sender = hello.sender;
    std::erase_if(this->new_connections,
                  [&](const new_connection& entry) { return entry.stream.lock() == stream; });
    stream->remove_frame_limit();
    this->connected_sessions += peer.stream == nullptr ? 1 : 0;
    // Calls that are still in transit on the old connection never start, since it is not read any more.
    if (peer.stream != nullptr)
    {
        peer.stream->close();
    }
    peer.stream = stream;
    peer.ratio_tracker.reset();
    peer.status_tracker = {};
    peer.sync_state = {};
    stream->send(frame_type::welcome,
                 welcome_message{.sender = this->fleet.own(), .status = this->dispatcher.status()});
    if (hello.receiver_started_ms == this->fleet.own().started_ms)
    {
        this->resume(peer, hello);
    }
    this->fleet.merge(std::span{&hello.sender, 1});
}

void peer_server::resume(session& peer, const hello_message& hello)
{
    const std::unordered_set<std::uint64_t> pending{hello.pending_calls.begin(), hello.pending_calls.end()};
    std::vector<std::uint64_t> cancelled;
    for (const auto& [id, call] : peer.open_calls)
    {
        if (!pending.contains(id))
        {
            cancelled.push_back(id);
        }
    }
    for (const std::uint64_t id : cancelled)
    {
        this->cancel_call(peer, id);
    }
    std::size_t running = 0;
    std::size_t resent = 0;
    std::size_t never_received = 0;
    std::size_t unknown = 0;
    for (const std::uint64_t id : hello.pending_calls)
    {
        if (peer.open_calls.contains(id))
        {
            ++running;
        }
        else if (const reply_message* kept = this->recent_replies.find(hello.sender.daemon_id, id))
        {
            ++resent;
            peer.stream->send(frame_type::reply, *kept);
        }
        else
        {
            const reply_message reply = this->missing_call_reply(peer, id);
            ++(reply.reason == call_reason::never_received ? never_received : unknown);
            peer.stream->send(frame_type::reply, reply);
        }
    }
    if (!hello.pending_calls.empty())
    {
        this->events.state_event("calls_resumed", {{"peer", hello.sender.daemon_id},
                                                   {"running", std::to_string(running)},
                                                   {"resent", std::to_string(resent)},
                                                   {"never_received", std::to_string(never_received)},
                                                   {"outcome_unknown", std::to_string(unknown)},
                                                   {"withdrawn", std::to_string(cancelled.size())}});
    }
}

/// Returns the reply to a call of which neither a run nor a reply is known any more.
reply_message peer_server::missing_call_reply(const session& peer, std::uint64_t call_id) const
{
    const bool never_received = call_id > peer.last_received_call;
    return {.id = call_id,
            .kind = static_cast<std::uint8_t>(never_received ? reply_kind::not_started : reply_kind::failed),
            .reason =
                std::string{never_received ? call_reason::never_received : call_reason::outcome_unknown},
            .load = this->dispatcher.status()};
}

void peer_server::on_call(const std::string& daemon_id, call_message call)
{
    session& peer = this->sessions.at(daemon_id);
    const std::uint64_t id = call.id;
    const std::uint64_t started_ms = peer.sender.started_ms;
    peer.last_call = core::boot_clock::now();
    peer.last_received_call = std::max(peer.last_received_call, id);
    const core::time_point deadline =
        peer.last_call +
        std::min<core::duration>(std::chrono::milliseconds{call.remaining_ms}, max_call_time);
    peer.open_calls[id] = {
        .ticket = this->dispatcher.submit(std::move(call), [this, daemon_id, started_ms](reply_message reply)
                                          { this->on_reply(daemon_id, started_ms, std::move(reply)); }),
        .deadline = deadline};
}

/// Refuses a call for which there was no memory.
void peer_server::on_dropped_call(const std::string& daemon_id, std::uint64_t call_id)
{
    const auto found = this->sessions.find(daemon_id);
    if (found == this->sessions.end() || found->second.stream == nullptr)
    {
        return;
    }
    session& peer = found->second;
    peer.last_received_call = std::max(peer.last_received_call, call_id);
    this->handlers.on_limit("memory");
    reply_message reply{.id = call_id,
                        .kind = static_cast<std::uint8_t>(reply_kind::not_started),
                        .reason = std::string{call_reason::memory},
                        .load = this->dispatcher.status()};
    peer.stream->send(frame_type::reply, reply);
    this->recent_replies.add(daemon_id, std::move(reply), core::boot_clock::now() + dropped_call_retention);
}

void peer_server::on_reply(const std::string& daemon_id, std::uint64_t started_ms, reply_message reply)
{
    const auto found = this->sessions.find(daemon_id);
    if (found == this->sessions.end() || found->second.sender.started_ms != started_ms)
    {
        return;
    }
    session& peer = found->second;
    const auto call = peer.open_calls.find(reply.id);
    if (call == peer.open_calls.end())
    {
        return; // Cancelled meanwhile.
    }
    const core::time_point deadline = call->second.deadline;
    peer.open_calls.erase(call);
    if (peer.stream != nullptr)
    {
        peer.stream->send(frame_type::reply, reply);
    }
    this->recent_replies.add(daemon_id, std::move(reply),
                             std::max(deadline, core::boot_clock::now()) + reply_retention);
}

/// Cancels a call. One whose handler will still be called stays open, so that its reply is sent and kept.
cancel_result peer_server::cancel_call(session& peer, std::uint64_t call_id)
{
    const auto call = peer.open_calls.find(call_id);
    if (call == peer.open_calls.end())
    {
        return cancel_result::unknown;
    }
    const cancel_result result = this->dispatcher.cancel(call->second.ticket);
    if (result != cancel_result::continues)
    {
        peer.open_calls.erase(call);
    }
    return result;
}

/// Cancels the calls of a daemon that has forgotten them.
void peer_server::cancel_all_calls(session& peer)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, call] : peer.open_calls)
    {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids)
    {
        this->cancel_call(peer, id);
    }
}

/// Cancels the calls of a daemon that does not reconnect, and keeps what became of them: it may still ask.
void peer_server::abandon_calls(const std::string& daemon_id, session& peer)
{
    const std::unordered_map<std::uint64_t, open_call> abandoned = peer.open_calls;
    for (const auto& [id, call] : abandoned)
    {
        const cancel_result result = this->cancel_call(peer, id);
        if (result == cancel_result::never_starts || result == cancel_result::aborted)
        {
            const reply_kind kind =
                result == cancel_result::aborted ? reply_kind::failed : reply_kind::not_started;
            this->recent_replies.add(daemon_id,
                                     {.id = id,
                                      .kind = static_cast<std::uint8_t>(kind),
                                      .reason = std::string{call_reason::link_lost},
                                      .load = this->dispatcher.status()},
                                     call.deadline + reply_retention);
        }
    }
}

void peer_server::tick(core::time_point now)
{
    this->recent_replies.expire(now);
    if (now - this->last_check < check_interval)
    {
        return;
    }
    this->last_check = now;
    this->close_new_connections(now, this->max_new_connections());
    this->close_silent_connections(now);
    for (auto& [daemon_id, peer] : this->sessions)
    {
        if (peer.stream == nullptr && !peer.open_calls.empty() &&
            now - peer.disconnected_since > disconnect_timeout)
        {
            this->abandon_calls(daemon_id, peer);
        }
    }
}

void peer_server::close_silent_connections(core::time_point now)
{
    this->connected_sessions = 0;
    for (auto& [daemon_id, peer] : this->sessions)
    {
        if (peer.stream == nullptr)
        {
            continue;
        }
        ++this->connected_sessions;
        const core::time_point since = now - dead_connection_time;
        if (peer.stream->last_received() < since || peer.stream->is_unread_since(since))
        {
            this->handlers.on_limit("peer_silent");
            peer.stream->close();
            peer.stream = nullptr;
            peer.disconnected_since = now;
            --this->connected_sessions;
        }
    }
}

void peer_server::broadcast_status(const instance_status& status, bool is_change)
{
    constexpr core::duration recent_call = std::chrono::seconds{2};
    constexpr core::duration idle_interval = std::chrono::milliseconds{500};
    const core::time_point now = core::boot_clock::now();
    const bool to_all = is_change || this->sessions.size() < large_fleet_size;
    const std::vector<std::uint8_t> body = protocol::encode_message(status);
    for (auto& [daemon_id, peer] : this->sessions)
    {
        if (peer.stream != nullptr &&
            (to_all || now - peer.last_call < recent_call || now - peer.status_sent >= idle_interval))
        {
            peer.status_sent = now;
            // A peer that gets no broadcast gets the status with the reply to its next probe.
            peer.status_tracker.record_sent(status, now);
            peer.stream->send_encoded(frame_type::status, body);
        }
    }
}

} // namespace laburnumreach::sidecar
