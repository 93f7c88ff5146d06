#ifndef LABURNUMREACH_STANDIN_EXECUTION_RECORD_HPP
#define LABURNUMREACH_STANDIN_EXECUTION_RECORD_HPP

#include "laburnumreach/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace laburnumreach::standin
{

/// What an upstream stand-in ran, by request id, by idempotency key and by the nonce of the load tool.
/// Thread safe.
class execution_record
{
public:
    /// What identifies a request.
    struct identity
    {
        std::string request_id{};
        std::string idempotency_key{};
        std::string nonce{};
        std::string tenant{};
        std::string path{};
    };

    /// What happened to a request.
    enum class event : std::uint8_t
    {
        received,
        started,
        finished,
        cancelled, ///< The caller closed its connection while the request waited or ran.
        failed,    ///< A dependency failed.
    };

    /// Further entries are only counted beyond this number, so that a long run keeps its memory bounded.
    static constexpr std::size_t most_entries = 1'000'000;

    /// Adds an event.
    /// @param worked time for which the request held a slot; counted with the last event
    void add(const identity& request, event what, core::duration worked = core::duration::zero());

    /// Replaces the texts that must not appear in requests.
    void set_forbidden_texts(std::vector<std::string> texts);

    /// Looks for forbidden texts.
    /// @param where for the report, for example "body"
    void inspect(const identity& request, const std::string& where, const std::string& content);

    /// Counts an answer of a dependency that was not whole.
    void add_damaged_dependency_answer();

    /// Returns the record:
    /// {"requests":[{"request_id","tenant","path","received","started","finished","cancelled","failed",
    /// "work_ms"}], "idempotency_keys":[{"key",...}], "nonces":[{"nonce",...}], "dropped":n,
    /// "damaged_dependency_answers":n, "forbidden":[{"request_id","tenant","where","text_index"}]}
    std::string to_json() const;

    /// Clears everything but the forbidden texts.
    void reset();

private:
    struct counts
    {
        std::string tenant{};
        std::string path{};
        std::uint64_t received = 0;
        std::uint64_t started = 0;
        std::uint64_t finished = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t failed = 0;
        core::duration worked{0};
    };

    /// A forbidden text that was found.
    struct finding
    {
        std::string request_id{};
        std::string tenant{};
        std::string where{};
        std::size_t text_index = 0;
    };

    /// By request id, nonce, or tenant, path and key.
    using table = std::map<std::string, counts>;

    void add_to(table& entries, const std::string& key, const identity& request, event what,
                core::duration worked);

    mutable std::mutex mutex;
    table requests;
    table keys;
    table nonces;
    std::uint64_t dropped = 0;
    std::uint64_t damaged_answers = 0;
    std::vector<std::string> forbidden_texts;
    std::vector<finding> findings;
};

} // namespace laburnumreach::standin

#endif
