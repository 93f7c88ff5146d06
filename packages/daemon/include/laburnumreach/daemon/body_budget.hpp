#ifndef LABURNUMREACH_DAEMON_BODY_BUDGET_HPP
#define LABURNUMREACH_DAEMON_BODY_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace laburnumreach::daemon
{

/// Bounds the bytes of all request bodies that the daemon holds. Thread safe.
class body_budget
{
public:
    explicit body_budget(std::uint64_t limit_bytes) : limit(limit_bytes) {}

    /// Bytes taken from a budget; returned on destruction.
    class reservation
    {
    public:
        explicit reservation(body_budget& owner) : budget(owner) {}
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;
        ~reservation() { this->budget.used.fetch_sub(this->bytes); }

        /// Takes further bytes.
        /// @returns false when the budget has too few left; nothing is taken then
        bool extend(std::uint64_t further)
        {
            if (this->budget.used.fetch_add(further) + further > this->budget.limit)
            {
                this->budget.used.fetch_sub(further);
                return false;
            }
            this->bytes += further;
            return true;
        }

    private:
        body_budget& budget;
        std::uint64_t bytes = 0;
    };

    std::uint64_t used_bytes() const noexcept { return this->used.load(); }

private:
    std::uint64_t limit;
    std::atomic<std::uint64_t> used{0};
};

} // namespace laburnumreach::daemon

#endif
