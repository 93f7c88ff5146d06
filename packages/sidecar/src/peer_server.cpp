#include "laburnumreach/sidecar/peer_server.hpp"

#include "laburnumreach/sidecar/call_reasons.hpp"

#include <algorithm>
#include <unordered_set>

namespace laburnumreach::sidecar
{

peer_server::peer_server(instance_dispatcher& calls_runner, fleet_state& fleet, event_log& log,
                         callbacks owner_callbacks)
    : runner(calls_runner), knowledge(fleet), events(log), owner(std::move(owner_callbacks))
{
}

void peer_server::accept(tcp::socket socket)
{
    const auto stream = std::make_shared<frame_stream>(std::move(socket));
    const auto daemon_id = std::make_shared<std::string>();
    const std::weak_ptr<frame_stream> weak = stream;
    stream->set_silence_timeout(silence_timeout);
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
                found->second.detached = core::boot_clock::now();
            }
        });
}

void peer_server::on_frame(const std::shared_ptr<frame_stream>& stream, std::string& daemon_id,
                           frame_type type, std::span<const std::uint8_t> body)
{
    if (type == frame_type::hello)
    {
        if (const auto message = protocol::decode_message<hello_message>(body))
        {
            this->on_hello(stream, daemon_id, *message);
        }
        return;
    }
    const auto found = this->sessions.find(daemon_id);
    if (found == this->sessions.end() || found->second.stream != stream)
    {
        stream->close(); // No greeting, or replaced by a newer connection.
        return;
    }
    if (this->knowledge.handle(*stream, type, body))
    {
        return;
    }
    if (type == frame_type::call)
    {
        if (auto message = protocol::decode_message<call_message>(body))
        {
            this->on_call(daemon_id, std::move(*message));
        }
    }
    else if (type == frame_type::cancel)
    {
        if (const auto message = protocol::decode_message<cancel_message>(body))
        {
            this->withdraw(found->second, message->id);
        }
    }
    else if (type == frame_type::token_request)
    {
        if (const auto message = protocol::decode_message<token_request_message>(body))
        {
            stream->send(frame_type::token_grant, this->owner.on_token_request(*message));
        }
    }
    else if (type == frame_type::probe)
    {
        if (const auto message = protocol::decode_message<probe_message>(body))
        {
            this->on_probe(found->second, *message);
        }
    }
}

void peer_server::on_probe(session& known, const probe_message& probe)
{
    const core::time_point now = core::boot_clock::now();
    this->owner.on_probe(known.sender, probe);
    probe_reply_message reply{.sequence = probe.sequence,
                              .config_version = this->knowledge.config_version(),
                              .member_digest = this->knowledge.digest(),
                              .status = {},
                              .ratios = known.ratios_told.changes(this->owner.ratios())};
    if (const instance_status status = this->runner.status(); known.status_told.should_send(status, now))
    {
        reply.status.push_back(status);
    }
    known.stream->send(frame_type::probe_reply, reply);
    this->knowledge.reconcile(*known.stream, known.view, known.sender.zone, probe.config_version,
                              probe.member_digest, now);
}

void peer_server::on_hello(const std::shared_ptr<frame_stream>& stream, std::string& daemon_id,
                           const hello_message& hello)
{
    session& known = this->sessions[hello.sender.daemon_id];
    if (hello.sender.started_ms < known.sender.started_ms)
    {
        stream->close();
        return;
    }
    daemon_id = hello.sender.daemon_id;
    if (hello.sender.started_ms > known.sender.started_ms)
    {
        this->abandon(known);
        known = {};
    }
    known.sender = hello.sender;
    // Calls that are still on their way on the old connection never start: it is not read any more.
    if (known.stream != nullptr)
    {
        known.stream->close();
    }
    known.stream = stream;
    known.ratios_told.reset();
    known.status_told = {};
    known.view = {};
    stream->send(frame_type::welcome,
                 welcome_message{.sender = this->knowledge.own(), .status = this->runner.status()});
    if (hello.receiver_started_ms == this->knowledge.own().started_ms)
    {
        this->resume(known, hello);
    }
    this->knowledge.merge(std::span{&hello.sender, 1});
}

void peer_server::resume(session& known, const hello_message& hello)
{
    const std::unordered_set<std::uint64_t> pending{hello.pending_calls.begin(), hello.pending_calls.end()};
    std::vector<std::uint64_t> withdrawn;
    for (const auto& [id, call] : known.open)
    {
        if (!pending.contains(id))
        {
            withdrawn.push_back(id);
        }
    }
    for (const std::uint64_t id : withdrawn)
    {
        this->withdraw(known, id);
    }
    for (const std::uint64_t id : hello.pending_calls)
    {
        if (known.open.contains(id))
        {
            continue;
        }
        const auto kept = known.replies.find(id);
        if (kept != known.replies.end())
        {
            known.stream->send(frame_type::reply, kept->second);
            continue;
        }
        known.stream->send(frame_type::reply,
                           reply_message{.id = id,
                                         .kind = static_cast<std::uint8_t>(reply_kind::not_started),
                                         .reason = std::string{call_reason::never_received},
                                         .load = this->runner.status()});
    }
}

void peer_server::on_call(const std::string& daemon_id, call_message call)
{
    session& known = this->sessions.at(daemon_id);
    const std::uint64_t id = call.id;
    const std::uint64_t started_ms = known.sender.started_ms;
    const core::time_point deadline = core::boot_clock::now() + std::chrono::milliseconds{call.remaining_ms};
    known.open[id] = {
        .ticket = this->runner.submit(std::move(call), [this, daemon_id, started_ms](reply_message reply)
                                      { this->on_reply(daemon_id, started_ms, std::move(reply)); }),
        .deadline = deadline};
}

void peer_server::on_reply(const std::string& daemon_id, std::uint64_t started_ms, reply_message reply)
{
    const auto found = this->sessions.find(daemon_id);
    if (found == this->sessions.end() || found->second.sender.started_ms != started_ms)
    {
        return;
    }
    session& known = found->second;
    const auto call = known.open.find(reply.id);
    if (call == known.open.end())
    {
        return; // Withdrawn meanwhile.
    }
    const core::time_point deadline = call->second.deadline;
    known.open.erase(call);
    if (known.stream != nullptr)
    {
        known.stream->send(frame_type::reply, reply);
    }
    const std::uint64_t id = reply.id;
    known.reply_expiry.emplace(std::max(deadline, core::boot_clock::now()) + reply_retention, id);
    known.replies.insert_or_assign(id, std::move(reply));
}

void peer_server::withdraw(session& known, std::uint64_t call_id)
{
    const auto call = known.open.find(call_id);
    // A call that runs on is kept, so that it is never reported as one that was not received.
    if (call != known.open.end() && !this->runner.cancel(call->second.ticket))
    {
        known.open.erase(call);
    }
}

void peer_server::abandon(session& known)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, call] : known.open)
    {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids)
    {
        this->withdraw(known, id);
    }
}

void peer_server::tick(core::time_point now)
{
    for (auto& [daemon_id, known] : this->sessions)
    {
        while (!known.reply_expiry.empty() && known.reply_expiry.begin()->first < now)
        {
            known.replies.erase(known.reply_expiry.begin()->second);
            known.reply_expiry.erase(known.reply_expiry.begin());
        }
        if (known.stream == nullptr && !known.open.empty() && now - known.detached > detached_limit)
        {
            this->abandon(known);
        }
    }
}

void peer_server::broadcast_status(const instance_status& status)
{
    for (auto& [daemon_id, known] : this->sessions)
    {
        if (known.stream != nullptr)
        {
            known.stream->send(frame_type::status, status);
        }
    }
}

} // namespace laburnumreach::sidecar
