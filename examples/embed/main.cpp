#include "laburnumreach/overload/call_scheduler.hpp"
#include "laburnumreach/quota/token_bucket.hpp"

#include <iostream>

namespace core = laburnumreach::core;
namespace overload = laburnumreach::overload;
namespace quota = laburnumreach::quota;

/// Embeds the rate limit of one tenant and the overload decision of one instance in a program of its own.
int main()
{
    constexpr std::int64_t token = quota::micro_tokens_per_token;
    const core::time_point start = core::boot_clock::now();
    quota::token_bucket bucket{{.rate = 10 * token, .capacity = 5 * token, .tokens = 5 * token}, start};
    overload::call_scheduler instance{4};

    int over_rate = 0;
    int started = 0;
    int queued = 0;
    for (std::uint64_t request = 1; request <= 20; ++request)
    {
        if (!bucket.try_spend(start))
        {
            ++over_rate;
            continue;
        }
        const overload::queued_call call{.id = request, .tenant = 1};
        const auto submitted = instance.submit(start, call, start + std::chrono::seconds{1});
        started += submitted.decision == overload::submit_result::action::start ? 1 : 0;
        queued += submitted.decision == overload::submit_result::action::queued ? 1 : 0;
    }
    std::cout << "over the rate: " << over_rate << ", started: " << started << ", queued: " << queued << '\n';
    return over_rate == 15 && started + queued == 5 ? 0 : 1;
}
