// Measures the costs of the claim table on one core: encoding of a full slot and claims per second of one
// committer.

#include "laburnumreach/idempotency/claim_committer.hpp"

#include <chrono>
#include <cstdio>
#include <map>
#include <string>

namespace
{

using namespace laburnumreach;
using namespace laburnumreach::idempotency;
using namespace std::chrono_literals;

constexpr std::size_t daemons = 700;

claim_key key_of(std::size_t number)
{
    return make_claim_key("serra", "orders", std::to_string(number));
}

claim_token token_of(std::size_t number)
{
    const std::size_t daemon = number % daemons;
    return {.owner = {.incarnation = 0x9e3779b97f4a7c15ULL * (daemon + 1),
                      .daemon = "vm-" + std::to_string(daemon)},
            .sequence = 100'000 + number / daemons};
}

/// Returns the average time of a call in milliseconds.
template <typename Call>
double milliseconds_of(std::size_t repeats, Call&& call)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t count = 0; count < repeats; ++count)
    {
        call();
    }
    const std::chrono::duration<double, std::milli> passed = std::chrono::steady_clock::now() - begin;
    return passed.count() / static_cast<double>(repeats);
}

void measure_slot(std::size_t records)
{
    claim_changes changes;
    for (std::size_t number = 0; number < records; ++number)
    {
        changes[key_of(number)] = {.token = token_of(number), .state = claim_state::finished};
    }
    const claim_slot slot = claim_slot{}.updated(changes, {});
    const std::string value = slot.encode();
    const double encode = milliseconds_of(50, [&] { (void)slot.encode(); });
    const double decode = milliseconds_of(50, [&] { (void)claim_slot::decode(value); });
    const claim_changes batch{changes.begin(), std::next(changes.begin(), 100)};
    const double update = milliseconds_of(50, [&] { (void)slot.updated(batch, {.ends_generation = true}); });
    std::printf(
        "slot of %zu records: %zu bytes, %.1f bytes/record, encode %.2f ms, decode %.2f ms, update %.2f ms\n",
        records, value.size(), static_cast<double>(value.size()) / static_cast<double>(records), encode,
        decode, update);
}

/// Sends claims to one committer at a given rate in virtual time, and counts the processor time that it
/// takes.
void measure_committer(std::size_t claims_per_second)
{
    std::map<std::string, std::pair<std::uint64_t, std::string>> objects;
    claim_committer committer{
        {}, {.incarnation = 1, .daemon = "vm-0"}, [](const process_id&) { return true; }};
    std::chrono::nanoseconds spent{0};
    const auto timed = [&](auto&& call)
    {
        const auto begin = std::chrono::steady_clock::now();
        claim_outbox out = call();
        spent += std::chrono::steady_clock::now() - begin;
        return out;
    };
    constexpr std::size_t seconds = 20;
    core::time_point now{1h};
    for (std::size_t number = 0; number < seconds * claims_per_second; ++number)
    {
        now += core::duration{1s} / claims_per_second;
        const claim_request request{.key = key_of(number), .token = token_of(number)};
        claim_outbox out = timed([&] { return committer.receive(now, request); });
        while (!out.calls.empty())
        {
            const store_call call = out.calls.front();
            auto& [version, value] = objects[call.object];
            if (call.kind == store_call_kind::write)
            {
                ++version;
                value = call.value;
            }
            const store_result result{.id = call.id,
                                      .status = version == 0 ? store_status::not_found : store_status::ok,
                                      .version = version,
                                      .value = value};
            out = timed([&] { return committer.complete(now, result); });
        }
    }
    const double busy = std::chrono::duration<double>(spent).count();
    const auto granted = static_cast<double>(committer.counters().granted);
    std::printf(
        "committer of 32 slots at %zu claims/s for %zu s: %.0f granted, %.0f writes/s, %.2f%% of a core, "
        "%.0f claims per core second\n",
        claims_per_second, seconds, granted,
        static_cast<double>(committer.counters().writes) / static_cast<double>(seconds),
        100.0 * busy / static_cast<double>(seconds), granted / busy);
}

} // namespace

int main()
{
    for (const std::size_t records : {200U, 2000U, 20'000U})
    {
        measure_slot(records);
    }
    for (const std::size_t rate : {100U, 1000U, 10'000U})
    {
        measure_committer(rate);
    }
    return 0;
}
