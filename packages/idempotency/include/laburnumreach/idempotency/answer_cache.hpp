#ifndef LABURNUMREACH_IDEMPOTENCY_ANSWER_CACHE_HPP
#define LABURNUMREACH_IDEMPOTENCY_ANSWER_CACHE_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/idempotency/claim_key.hpp"

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace laburnumreach::idempotency
{

/// The answer of a finished request.
struct recorded_answer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Settings of an answer_cache.
struct answer_cache_options
{
    std::size_t max_answer_bytes = 64 * 1024;       ///< Headers and body of one answer.
    std::size_t max_total_bytes = 16 * 1024 * 1024; ///< All answers with their bookkeeping.
    core::duration retention = std::chrono::minutes{10};
};

/// Answers of requests that this daemon ran, for duplicates. The least recently used answer is evicted first.
///
/// Losing an answer never frees a claim. Not thread safe; a found answer may be read by any thread.
class answer_cache
{
public:
    explicit answer_cache(const answer_cache_options& settings) : options(settings) {}

    /// Records an answer. Replaces an earlier answer of the key.
    /// @returns false when the answer is too large to be kept
    bool store(core::time_point now, const claim_key& key, recorded_answer answer);

    /// Returns the answer of a key, or null.
    std::shared_ptr<const recorded_answer> find(core::time_point now, const claim_key& key);

    std::size_t size() const noexcept { return this->index.size(); }
    /// Returns the bytes counted against max_total_bytes.
    std::size_t total_bytes() const noexcept { return this->bytes; }

private:
    struct entry
    {
        claim_key key;
        std::shared_ptr<const recorded_answer> answer;
        std::size_t bytes = 0;
        core::time_point stored_at;
    };

    void erase(std::list<entry>::iterator position);

    answer_cache_options options;
    std::list<entry> entries; ///< Most recently used first.
    std::unordered_map<claim_key, std::list<entry>::iterator, claim_key_hash> index;
    std::size_t bytes = 0;
};

} // namespace laburnumreach::idempotency

#endif
