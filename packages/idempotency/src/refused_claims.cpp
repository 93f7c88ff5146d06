#include "laburnumreach/idempotency/refused_claims.hpp"

namespace laburnumreach::idempotency
{

void refused_claims::add(const claim_response& refusal)
{
    if (!this->refusals.emplace(refusal.token, refusal).second)
    {
        return;
    }
    this->order.push_back(refusal.token);
    if (this->order.size() > this->capacity)
    {
        this->refusals.erase(this->order.front());
        this->order.pop_front();
    }
}

const claim_response* refused_claims::find(const claim_token& token) const
{
    const auto found = this->refusals.find(token);
    return found == this->refusals.end() ? nullptr : &found->second;
}

} // namespace laburnumreach::idempotency
