#ifndef LABURNUMREACH_SIDECAR_CUSTOMER_TOKEN_POOL_HPP
#define LABURNUMREACH_SIDECAR_CUSTOMER_TOKEN_POOL_HPP

#include <algorithm>
#include <string>
#include <unordered_map>

namespace laburnumreach::sidecar
{

/// Tokens of customers that other daemons did not need, held for daemons that do. Deterministic.
///
/// Tokens only move: what is taken here was refilled by the share of some daemon. So the limits hold however
/// many pools there are and whoever is cut off.
class customer_token_pool
{
public:
    /// Adds tokens; what exceeds the capacity is lost.
    void deposit(const std::string& customer, double tokens, double capacity)
    {
        double& held = this->tokens[customer];
        held = std::min(held + tokens, capacity);
    }

    /// Takes one token.
    /// @param reserve tokens that must be left for more urgent requests
    /// @returns whether there was one
    bool withdraw(const std::string& customer, double reserve)
    {
        const auto found = this->tokens.find(customer);
        if (found == this->tokens.end() || found->second < 1.0 + reserve)
        {
            return false;
        }
        found->second -= 1.0;
        return true;
    }

    /// Drops the tokens of customers for which the predicate holds.
    template <typename Predicate>
    void remove_if(Predicate removed)
    {
        std::erase_if(this->tokens, [&](const auto& entry) { return removed(entry.first); });
    }

private:
    std::unordered_map<std::string, double> tokens; ///< By customer.
};

} // namespace laburnumreach::sidecar

#endif
