#ifndef LABURNUMREACH_SIDECAR_RETAINED_REPLIES_HPP
#define LABURNUMREACH_SIDECAR_RETAINED_REPLIES_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"

#include <map>
#include <set>
#include <string>

namespace laburnumreach::sidecar
{

/// Replies that were sent to other daemons, kept to be sent again if a connection is lost. Deterministic.
///
/// Their size is limited, since a VM may have as little as 160 MB. Above the limit, the responses that expire
/// first are replaced by the statement that the call may have run, so that a finished call is never taken for
/// one that was not received.
class retained_replies
{
public:
    /// @param max_bytes limit on the bodies and header fields of all replies
    explicit retained_replies(std::size_t max_bytes) : limit(max_bytes) {}

    /// Adds a reply; replaces the one with the same id.
    /// @param daemon_id daemon that sent the call
    void add(const std::string& daemon_id, reply_message reply, core::time_point expiry);

    /// Finds the reply to a call of a daemon.
    /// @returns null if there is none
    const reply_message* find(const std::string& daemon_id, std::uint64_t call_id) const;

    /// Removes the replies to a daemon.
    void remove_all(const std::string& daemon_id);

    /// Removes the replies whose expiry has passed.
    void expire(core::time_point now);

    /// Returns the size of the bodies and header fields of all replies.
    std::size_t bytes() const noexcept { return this->total_bytes; }

private:
    using key = std::pair<std::string, std::uint64_t>;
    struct entry
    {
        reply_message reply;
        core::time_point expiry;
    };
    using entry_map = std::map<key, entry>;

    static std::size_t size_of(const reply_message& reply) { return reply.fields.size() + reply.body.size(); }
    void drop_response(entry& dropped);
    entry_map::iterator erase(entry_map::iterator position);

    std::size_t limit;
    std::size_t total_bytes = 0;
    entry_map entries;
    std::set<std::pair<core::time_point, key>> by_expiry;
    std::set<std::pair<core::time_point, key>>
        responses_by_expiry; ///< Replies that still have their response.
};

} // namespace laburnumreach::sidecar

#endif
