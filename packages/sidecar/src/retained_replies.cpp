#include "laburnumreach/sidecar/retained_replies.hpp"

#include "laburnumreach/sidecar/call_reasons.hpp"

#include <utility>

namespace laburnumreach::sidecar
{

void retained_replies::add(const std::string& daemon_id, reply_message reply, core::time_point expiry)
{
    const key id{daemon_id, reply.id};
    if (const auto former = this->entries.find(id); former != this->entries.end())
    {
        this->erase(former);
    }
    this->total_bytes += size_of(reply);
    this->by_expiry.emplace(expiry, id);
    if (static_cast<reply_kind>(reply.kind) == reply_kind::response)
    {
        this->responses_by_expiry.emplace(expiry, id);
    }
    this->entries.emplace(id, entry{.reply = std::move(reply), .expiry = expiry});
    while (this->total_bytes > this->limit && !this->responses_by_expiry.empty())
    {
        this->drop_response(this->entries.at(this->responses_by_expiry.begin()->second));
        this->responses_by_expiry.erase(this->responses_by_expiry.begin());
    }
}

/// Replaces a response by the statement that the call may have run.
void retained_replies::drop_response(entry& dropped)
{
    this->total_bytes -= size_of(dropped.reply);
    reply_message statement{.id = dropped.reply.id,
                            .kind = static_cast<std::uint8_t>(reply_kind::failed),
                            .reason = std::string{call_reason::response_dropped},
                            .load = dropped.reply.load};
    // An assignment would keep the memory of the body.
    std::swap(dropped.reply, statement);
}

const reply_message* retained_replies::find(const std::string& daemon_id, std::uint64_t call_id) const
{
    const auto found = this->entries.find({daemon_id, call_id});
    return found == this->entries.end() ? nullptr : &found->second.reply;
}

void retained_replies::remove_all(const std::string& daemon_id)
{
    auto position = this->entries.lower_bound({daemon_id, 0});
    while (position != this->entries.end() && position->first.first == daemon_id)
    {
        position = this->erase(position);
    }
}

void retained_replies::expire(core::time_point now)
{
    while (!this->by_expiry.empty() && this->by_expiry.begin()->first < now)
    {
        this->erase(this->entries.find(this->by_expiry.begin()->second));
    }
}

retained_replies::entry_map::iterator retained_replies::erase(entry_map::iterator position)
{
    const auto& [id, erased] = *position;
    this->total_bytes -= size_of(erased.reply);
    this->by_expiry.erase({erased.expiry, id});
    this->responses_by_expiry.erase({erased.expiry, id});
    return this->entries.erase(position);
}

} // namespace laburnumreach::sidecar
