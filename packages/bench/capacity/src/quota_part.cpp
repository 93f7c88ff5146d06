#include "laburnumreach/protocol/control_envelope.hpp"
#include "laburnumreach/protocol/quota_messages.hpp"
#include "laburnumreach/quota/borrower.hpp"
#include "laburnumreach/quota/lender.hpp"
#include "parts.hpp"

#include <chrono>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <utility>

namespace laburnumreach::capacity_bench
{

namespace
{

constexpr std::size_t tenants = 8;
constexpr std::size_t bench_seconds = 6;
constexpr core::duration poll_interval = std::chrono::milliseconds{20};
constexpr std::int64_t million = 1'000'000;

double thread_seconds()
{
    timespec value{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

std::string tenant_name(std::size_t index)
{
    return "tenant" + std::to_string(index);
}

/// Traffic and processor time of the two roles.
struct quota_totals
{
    std::uint64_t requests = 0;
    std::uint64_t grants = 0;
    std::uint64_t request_bytes = 0;
    std::uint64_t grant_bytes = 0;
    std::uint64_t refused = 0;
    std::uint64_t spent = 0;
    double lender_seconds = 0.0;
    double borrower_seconds = 0.0;
};

/// One lender and its borrowers in virtual time, with all messages encoded, signed, checked and decoded.
class lending_zone
{
public:
    lending_zone(std::size_t count, double requests_per_s)
        : authenticator("capacity-bench-fleet-secret"),
          spends_per_poll(requests_per_s * std::chrono::duration<double>(poll_interval).count()),
          granting({.zone = "a", .self = lender_ref, .epoch = {.record = 1}, .start_full = true}, this->now)
    {
        quota::quota_revision revision{.revision = 1, .zones = {"a"}, .tenants = {}};
        for (std::size_t tenant = 0; tenant < tenants; ++tenant)
        {
            // Twice what all borrowers spend.
            const auto rate =
                static_cast<std::int64_t>(2.0 * requests_per_s * static_cast<double>(count)) + 10;
            revision.tenants[tenant_name(tenant)] = {.rate = rate * million, .burst = rate * million};
        }
        this->granting.set_authority(this->now + std::chrono::hours{1});
        this->granting.configure(std::make_shared<const quota::quota_revision>(std::move(revision)),
                                 this->now);
        for (std::size_t index = 0; index < count; ++index)
        {
            member& added = this->members.emplace_back(
                member{.engine = quota::borrower<>{
                           {.id = "vm-" + std::to_string(1000 + index), .incarnation = index + 1}, "a"}});
            for (std::size_t tenant = 0; tenant < tenants; ++tenant)
            {
                added.accounts.push_back(added.engine.attach(tenant_name(tenant)));
            }
        }
    }

    void run(std::size_t seconds)
    {
        const core::time_point end = this->now + std::chrono::seconds{seconds};
        for (; this->now < end; this->now += poll_interval)
        {
            for (member& borrowing : this->members)
            {
                this->step(borrowing);
            }
            const double begin = thread_seconds();
            const quota::lender::output out = this->granting.poll(this->now);
            this->totals.lender_seconds += thread_seconds() - begin;
            this->deliver(out);
        }
    }

    quota_totals take_totals() { return std::exchange(this->totals, {}); }

private:
    struct member
    {
        quota::borrower<> engine;
        std::vector<std::shared_ptr<quota::borrower<>::account>> accounts{};
        double owed = 0.0;
    };

    static inline const quota::daemon_ref lender_ref{.id = "vm-0999", .incarnation = 1};

    void step(member& borrowing)
    {
        borrowing.owed += this->spends_per_poll;
        for (; borrowing.owed >= 1.0; borrowing.owed -= 1.0)
        {
            for (const auto& account : borrowing.accounts)
            {
                const auto decision = account->with([this](quota::tenant_bucket& bucket)
                                                    { return bucket.try_spend(this->now); });
                // A request that waits is answered within a poll interval here, so it counts as served later.
                this->totals.spent += decision.result == quota::spend_result::spent ? 1U : 0U;
                this->totals.refused += decision.result == quota::spend_result::refused ? 1U : 0U;
                if (decision.result == quota::spend_result::wait)
                {
                    account->with([this](quota::tenant_bucket& bucket) { return bucket.give_up(this->now); });
                }
            }
        }
        const double begin = thread_seconds();
        const auto request = borrowing.engine.poll(this->now);
        std::vector<std::uint8_t> bytes = request ? this->encode(*request) : std::vector<std::uint8_t>{};
        this->totals.borrower_seconds += thread_seconds() - begin;
        if (!request)
        {
            return;
        }
        ++this->totals.requests;
        this->totals.request_bytes += bytes.size();
        const double received = thread_seconds();
        const quota::lender::output out =
            this->granting.receive(std::get<quota::loan_request>(this->decode(bytes)), this->now);
        this->totals.lender_seconds += thread_seconds() - received;
        this->deliver(out);
    }

    void deliver(const quota::lender::output& out)
    {
        for (const quota::loan_grant& grant : out.grants)
        {
            const double begin = thread_seconds();
            const std::vector<std::uint8_t> bytes = this->encode(grant);
            const double sent = thread_seconds();
            this->totals.lender_seconds += sent - begin;
            ++this->totals.grants;
            this->totals.grant_bytes += bytes.size();
            const auto arrived = std::get<quota::loan_grant>(this->decode(bytes));
            this->members[grant.receiver.incarnation - 1].engine.receive(arrived, this->now);
            this->totals.borrower_seconds += thread_seconds() - sent;
        }
    }

    std::vector<std::uint8_t> encode(const protocol::quota_message& message) const
    {
        return protocol::encode_and_sign({.kind = static_cast<std::uint32_t>(protocol::control_kind::quota),
                                          .sender = lender_ref.id,
                                          .sender_incarnation = 0x9e3779b97f4a7c15ULL,
                                          .sender_address = "10.10.10.100:7003",
                                          .receiver = "vm-1000",
                                          .body = protocol::encode_variant(message)},
                                         this->authenticator);
    }

    protocol::quota_message decode(const std::vector<std::uint8_t>& bytes) const
    {
        const auto envelope = protocol::verify_and_decode(bytes, this->authenticator);
        return *protocol::decode_variant<protocol::quota_message>(envelope->body);
    }

    protocol::message_authenticator authenticator;
    core::time_point now{std::chrono::hours{1}};
    double spends_per_poll;
    quota::lender granting;
    std::vector<member> members;
    quota_totals totals;
};

nlohmann::json measure_zone(std::size_t borrowers, double requests_per_s)
{
    const auto before = ::mallinfo2();
    lending_zone zone{borrowers, requests_per_s};
    zone.run(4);
    const auto after = ::mallinfo2();
    zone.take_totals();
    zone.run(bench_seconds);
    const quota_totals totals = zone.take_totals();
    const double seconds = static_cast<double>(bench_seconds);
    const double count = seconds * static_cast<double>(borrowers);
    return {{"borrowers", borrowers},
            {"tenants", tenants},
            {"requests_per_tenant_and_daemon_per_s", requests_per_s},
            {"loan_requests_per_borrower_per_s", static_cast<double>(totals.requests) / count},
            {"grants_per_borrower_per_s", static_cast<double>(totals.grants) / count},
            {"borrower_bytes_per_s", static_cast<double>(totals.request_bytes + totals.grant_bytes) / count},
            {"lender_bytes_per_s", static_cast<double>(totals.request_bytes + totals.grant_bytes) / seconds},
            {"lender_core_percent", 100.0 * totals.lender_seconds / seconds},
            {"borrower_core_percent", 100.0 * totals.borrower_seconds / count},
            {"memory_bytes_per_borrower",
             static_cast<double>(after.uordblks - before.uordblks) / static_cast<double>(borrowers)},
            {"spent", totals.spent},
            {"refused", totals.refused},
            {"load_average", load_average()}};
}

} // namespace

nlohmann::json measure_quota(const bench_options& options)
{
    nlohmann::json results = nlohmann::json::array();
    for (const std::size_t borrowers : options.member_counts)
    {
        // 71,000 calls/s over 700 daemons and 8 tenants is 12.7 per daemon and tenant.
        results.push_back(measure_zone(borrowers, 12.7));
        std::cout << "quota " << results.back().dump() << std::endl;
    }
    return results;
}

} // namespace laburnumreach::capacity_bench
