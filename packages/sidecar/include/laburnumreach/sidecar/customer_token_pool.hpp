#ifndef LABURNUMREACH_SIDECAR_CUSTOMER_TOKEN_POOL_HPP
#define LABURNUMREACH_SIDECAR_CUSTOMER_TOKEN_POOL_HPP

#include <algorithm>
#include <string>
#include <unordered_map>

namespace laburnumreach::sidecar
{

/// Unused tokens of customers, pooled for daemons whose own share is used up. Deterministic.
///
/// Tokens are only transferred, never created: each token in a pool was refilled in the share of some daemon.
/// So the limits hold for any number of pools and in any network partition.
class customer_token_pool
{
public:
    /// Adds tokens; tokens beyond the capacity are lost.
    void deposit(const std::string& customer, double tokens, double capacity)
    {
        double& pooled = this->tokens[customer];
        pooled = std::min(pooled + tokens, capacity);
    }

    /// Takes one token.
    /// @param reserve number of tokens that must remain for more urgent requests
    /// @returns false when no token can be taken
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

    /// Removes the tokens of the customers whose name satisfies the predicate.
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
