#ifndef LABURNUMREACH_QUOTA_BORROWER_HPP
#define LABURNUMREACH_QUOTA_BORROWER_HPP

#include "laburnumreach/quota/request_log.hpp"
#include "laburnumreach/quota/tenant_account.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laburnumreach::quota
{

/// Holds the loans of one daemon. A restarted daemon starts a new one with a greater incarnation and no
/// loans.
///
/// All calls are made by the control thread. Traffic threads use only the accounts that attach() returned,
/// which stay valid when the tenant is detached.
/// @tparam Mutex guards each account, for example std::mutex
template <typename Mutex = no_mutex>
class borrower
{
public:
    using account = tenant_account<Mutex>;

    /// @param own_ref the daemon with its incarnation
    /// @param own_zone the daemon's zone, whose lender it borrows from
    borrower(daemon_ref own_ref, std::string own_zone) : self(std::move(own_ref)), zone(std::move(own_zone))
    {
    }

    /// Returns the account of a tenant and creates it if needed.
    std::shared_ptr<account> attach(const std::string& tenant)
    {
        std::shared_ptr<account>& entry = this->accounts[tenant];
        if (!entry)
        {
            entry = std::make_shared<account>();
        }
        return entry;
    }

    /// Forgets a tenant that the configuration no longer has. Its loan lapses.
    void detach(const std::string& tenant) { this->accounts.erase(tenant); }

    /// Returns the request to send to the zone's lender now, if any. Call it after a decision with notify
    /// set, after receive(), and every 10 to 50 ms.
    std::optional<loan_request> poll(core::time_point now)
    {
        return this->collect(now, [now](tenant_bucket& bucket) { return bucket.report(now); });
    }

    /// Gives all loans back, for a graceful stop.
    std::optional<loan_request> release(core::time_point now)
    {
        return this->collect(now, [now](tenant_bucket& bucket) { return bucket.release(now); });
    }

    /// Applies an answer of the lender.
    /// @returns the tenants whose waiting requests should call retry_spend
    std::vector<std::string> receive(const loan_grant& grant, core::time_point now)
    {
        std::vector<std::string> wake;
        const auto requested_at = this->requests.sent_at(grant.request_number);
        if (grant.to_lender || grant.receiver != this->self || grant.lender_zone != this->zone ||
            !requested_at)
        {
            return wake;
        }
        for (const loan_grant_item& item : grant.items)
        {
            const auto found = this->accounts.find(item.tenant);
            if (found != this->accounts.end() &&
                found->second->with([&](tenant_bucket& bucket)
                                    { return bucket.apply(grant.epoch, item, *requested_at, now); }))
            {
                wake.push_back(item.tenant);
            }
        }
        return wake;
    }

private:
    template <typename Report>
    std::optional<loan_request> collect(core::time_point now, Report report)
    {
        loan_request request;
        request.lender_zone = this->zone;
        request.sender_zone = this->zone;
        request.sender = this->self;
        for (auto& [tenant, entry] : this->accounts)
        {
            if (auto item = entry->with(report))
            {
                item->tenant = tenant;
                request.items.push_back(std::move(*item));
            }
        }
        if (request.items.empty())
        {
            return std::nullopt;
        }
        request.number = this->requests.add(now);
        return request;
    }

    daemon_ref self;
    std::string zone;
    std::map<std::string, std::shared_ptr<account>, std::less<>> accounts;
    request_log requests;
};

} // namespace laburnumreach::quota

#endif
