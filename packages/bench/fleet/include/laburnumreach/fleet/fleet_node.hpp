#ifndef LABURNUMREACH_FLEET_FLEET_NODE_HPP
#define LABURNUMREACH_FLEET_FLEET_NODE_HPP

#include "laburnumreach/fleet/node_clock.hpp"
#include "laburnumreach/fleet/zone_agent.hpp"
#include "laburnumreach/quota/borrower.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace laburnumreach::fleet
{

/// Start of every daemon's id; its index follows.
inline constexpr std::string_view node_prefix = "vm-";

/// A control message between daemons.
using message = std::variant<quota::loan_request, quota::loan_grant, quota::promise_request,
                             quota::promise_answer, quota::handover>;

/// A request that waits for tokens.
struct waiting_request
{
    std::uint64_t number = 0;
    bool naive_admitted = false;
};

/// One daemon of a fleet_model.
struct fleet_node
{
    std::size_t index = 0;
    std::size_t zone = 0;
    quota::daemon_ref self;
    node_clock clock;
    bool alive = true;
    core::time_point paused_until{}; ///< Virtual time.
    int group = 0;                   ///< Daemons of different groups do not reach each other.
    std::uint64_t life = 0;          ///< Grows with each start; events of an earlier life are void.

    std::unique_ptr<quota::borrower<>> borrower;
    std::vector<std::shared_ptr<quota::borrower<>::account>> accounts; ///< By tenant.
    std::vector<std::deque<waiting_request>> waiting;                  ///< By tenant.
    std::unique_ptr<zone_agent> agent;
    std::deque<message> held_back; ///< Arrived during a pause.
};

} // namespace laburnumreach::fleet

#endif
