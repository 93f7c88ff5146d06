#include "laburnumreach/idempotency/answer_cache.hpp"

namespace laburnumreach::idempotency
{

namespace
{

/// Estimate of the bytes that the containers need for one answer and for one header.
constexpr std::size_t answer_overhead_bytes = 256;
constexpr std::size_t header_overhead_bytes = 64;

} // namespace

bool answer_cache::store(core::time_point now, const claim_key& key, recorded_answer answer)
{
    if (const auto found = this->index.find(key); found != this->index.end())
    {
        this->erase(found->second);
    }
    std::size_t size = answer.body.size();
    for (const auto& [name, value] : answer.headers)
    {
        size += name.size() + value.size();
    }
    const std::size_t counted = size + answer_overhead_bytes + answer.headers.size() * header_overhead_bytes;
    if (size > this->options.max_answer_bytes || counted > this->options.max_total_bytes)
    {
        return false;
    }
    while (this->bytes + counted > this->options.max_total_bytes)
    {
        this->erase(std::prev(this->entries.end()));
    }
    this->entries.push_front({.key = key,
                              .answer = std::make_shared<const recorded_answer>(std::move(answer)),
                              .bytes = counted,
                              .stored_at = now});
    this->index.emplace(key, this->entries.begin());
    this->bytes += counted;
    return true;
}

std::shared_ptr<const recorded_answer> answer_cache::find(core::time_point now, const claim_key& key)
{
    const auto found = this->index.find(key);
    if (found == this->index.end())
    {
        return nullptr;
    }
    if (now - found->second->stored_at >= this->options.retention)
    {
        this->erase(found->second);
        return nullptr;
    }
    this->entries.splice(this->entries.begin(), this->entries, found->second);
    return found->second->answer;
}

void answer_cache::erase(std::list<entry>::iterator position)
{
    this->bytes -= position->bytes;
    this->index.erase(position->key);
    this->entries.erase(position);
}

} // namespace laburnumreach::idempotency
