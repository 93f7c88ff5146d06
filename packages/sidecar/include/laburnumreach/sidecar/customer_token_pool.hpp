#ifndef LABURNUMREACH_SIDECAR_CUSTOMER_TOKEN_POOL_HPP
#define LABURNUMREACH_SIDECAR_CUSTOMER_TOKEN_POOL_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"

#include <string>
#include <unordered_map>

namespace laburnumreach::sidecar
{

/// Unused tokens of customers, pooled for daemons whose own share is used up. Deterministic.
///
/// Tokens are only transferred, never created. Each daemon that deposits tokens of a customer has an account
/// with a limited balance, since a token in the pool takes up room in that daemon's share of the burst. A
/// withdrawal reduces all balances in proportion. The accounts of a daemon end with its process, and when no
/// message of it arrives for the lease time.
class customer_token_pool
{
public:
    /// Limits of each account of one customer: a daemon's share of the customer's limits.
    struct account_limits
    {
        double balance = 0;     ///< Maximum number of tokens, future refill included.
        double refill_rate = 0; ///< Rate at which future refill becomes available, tokens per second.
    };

    /// Records a message of a process of a daemon, which renews the lease of its accounts. Those of an
    /// earlier process are closed.
    void record_contact(const std::string& daemon, std::uint64_t started_ms, core::time_point now);

    /// Sets the limits of a customer's accounts, and applies them to those that are open.
    void set_limits(const std::string& customer, const account_limits& limits);

    /// Adds to the account of a daemon, and opens it if there is none. Tokens beyond its limit are lost.
    /// Ignores customers without limits.
    void deposit(const std::string& daemon, const token_deposit& entry, core::time_point now);

    /// Closes an account. Its tokens are lost.
    void close(const std::string& customer, const std::string& daemon);

    /// Takes one token.
    /// @param reserve number of tokens that must remain for more urgent requests
    /// @returns false when no token can be taken
    bool withdraw(const std::string& customer, double reserve, core::time_point now);

    /// Returns the maximum number of tokens that the open accounts of a customer can hold.
    double capacity(const std::string& customer) const;

    /// Closes the accounts whose lease has ended.
    void expire(core::time_point now);

    /// Closes the accounts of the customers whose name satisfies the predicate.
    template <typename Predicate>
    void remove_if(Predicate removed)
    {
        std::erase_if(this->customers, [&](const auto& entry) { return removed(entry.first); });
    }

    /// Closes all accounts.
    void clear() { this->customers.clear(); }

    /// Time without a message of a daemon after which its accounts are closed; three probes.
    static constexpr core::duration lease_time = std::chrono::milliseconds{1500};

private:
    /// Tokens that one daemon deposited.
    struct account
    {
        double balance = 0;          ///< Tokens, less the account's part of customer_pool::withdrawn.
        double pending = 0;          ///< Future refill that is not available yet.
        core::time_point released{}; ///< Time up to which refill has been made available.
    };

    /// Tokens of one customer.
    struct customer_pool
    {
        account_limits limits;
        double total = 0;     ///< Sum of the balances.
        double withdrawn = 0; ///< Not yet subtracted from the balances, so that a withdrawal costs little.
        core::time_point last_update{};
        std::unordered_map<std::string, account> accounts; ///< By daemon.
    };

    /// The process that sent the last message.
    struct contact
    {
        std::uint64_t started_ms = 0;
        core::time_point last{};
    };

    /// Maximum age of the balances at a withdrawal.
    static constexpr core::duration update_interval = std::chrono::milliseconds{10};

    void close_accounts_of(const std::string& daemon);
    static void subtract_withdrawn(customer_pool& pool);
    static void release_refill(customer_pool& pool, core::time_point now);

    std::unordered_map<std::string, customer_pool> customers;
    std::unordered_map<std::string, contact> contacts; ///< By daemon.
    core::time_point last_expiry{};
};

} // namespace laburnumreach::sidecar

#endif
