#include "laburnumreach/fleet/fleet_model.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace
{

using namespace laburnumreach;
using namespace std::chrono_literals;

constexpr std::int64_t token = quota::micro_tokens_per_token;
/// Requests per second of each tenant, as a part of its rate.
constexpr double load = 0.8;
constexpr core::duration phase = 20s;
/// A central counter costs a request and an answer for each call; envelope, tenant and verdict.
constexpr double naive_message_bytes = 112;

struct fleet_size
{
    int zones;
    int daemons_per_zone;
};

/// Figures of one phase.
struct phase_result
{
    std::uint64_t offered = 0;
    std::uint64_t naive_admitted = 0;
    std::uint64_t admitted = 0;
    std::uint64_t waited = 0;
    std::uint64_t wrongful = 0;
    std::uint64_t over_admitted = 0;
    double worst_tenant_shortfall = 0.0;

    double wrongful_percent() const
    {
        return 100.0 * static_cast<double>(this->wrongful) /
               static_cast<double>(std::max<std::uint64_t>(1, this->naive_admitted));
    }
};

quota::quota_revision eight_tenants()
{
    quota::quota_revision quotas;
    for (const std::int64_t rate : {10, 20, 50, 100, 200, 500, 1000, 2000})
    {
        quotas.tenants["tenant-" + std::to_string(rate)] = {.rate = rate * token, .burst = 2 * rate * token};
    }
    return quotas;
}

/// Sends each tenant's load evenly to every step-th daemon, from the given one on.
void spread(fleet::fleet_model& model, const quota::quota_revision& quotas, std::size_t first,
            std::size_t step)
{
    const std::size_t receiving = (model.node_count() - first + step - 1) / step;
    const auto receivers = static_cast<double>(receiving);
    std::size_t tenant = 0;
    for (const auto& [name, quota] : quotas.tenants)
    {
        const double rate = load * static_cast<double>(quota.rate) / static_cast<double>(token) / receivers;
        for (std::size_t node = 0; node < model.node_count(); ++node)
        {
            model.set_traffic(node, tenant, node >= first && (node - first) % step == 0 ? rate : 0.0);
        }
        ++tenant;
    }
}

phase_result summarise(const fleet::fleet_model& model, std::size_t tenants)
{
    phase_result sum;
    for (std::size_t tenant = 0; tenant < tenants; ++tenant)
    {
        const fleet::tenant_statistics& each = model.statistics(tenant);
        sum.offered += each.offered;
        sum.naive_admitted += each.naive_admitted;
        sum.admitted += each.admitted;
        sum.waited += each.waited;
        sum.wrongful += each.wrongful;
        sum.over_admitted += each.over_admitted;
        const double missing = static_cast<double>(each.naive_admitted) - static_cast<double>(each.admitted);
        sum.worst_tenant_shortfall =
            std::max(sum.worst_tenant_shortfall,
                     100.0 * missing / static_cast<double>(std::max<std::uint64_t>(1, each.naive_admitted)));
    }
    return sum;
}

nlohmann::json to_json(const phase_result& result)
{
    return {{"offered", result.offered},
            {"naive_admitted", result.naive_admitted},
            {"admitted", result.admitted},
            {"waited", result.waited},
            {"over_admitted", result.over_admitted},
            {"wrongful_refusals_percent", result.wrongful_percent()},
            {"worst_tenant_shortfall_percent", result.worst_tenant_shortfall}};
}

nlohmann::json run(const fleet_size& size, std::uint64_t seed)
{
    fleet::fleet_options options;
    options.seed = seed;
    options.zones = size.zones;
    options.daemons_per_zone = size.daemons_per_zone;
    options.check = false;
    options.measure = true;
    options.quotas = eight_tenants();
    const quota::quota_revision quotas = options.quotas;
    const std::size_t tenants = quotas.tenants.size();
    fleet::fleet_model model{options};
    model.run_for(5s);
    spread(model, quotas, 0, 1);
    model.run_for(5s);

    model.reset_statistics();
    model.run_for(phase);
    const phase_result steady = summarise(model, tenants);
    const fleet::control_costs costs = model.costs();

    model.reset_statistics();
    const std::size_t every = std::max<std::size_t>(2, model.node_count() / 4 + 1);
    for (int move = 0; move < 4; ++move)
    {
        // A few daemons get everything, and others a few seconds later.
        spread(model, quotas, static_cast<std::size_t>(move), every);
        model.run_for(phase / 4);
    }
    const phase_result moving = summarise(model, tenants);

    spread(model, quotas, 0, 1);
    model.run_for(5s);
    model.reset_statistics();
    for (std::size_t node = 0; node < model.node_count(); ++node)
    {
        model.set_group(node, model.node(node).zone == 0 ? 1 : 0);
    }
    model.set_platform_reachable(1, false);
    model.run_for(phase);
    const phase_result cut = summarise(model, tenants);

    const double seconds = std::chrono::duration<double>(phase).count();
    const auto daemons = static_cast<double>(model.node_count());
    const auto requests = static_cast<double>(steady.offered);
    const double borrower_s = std::chrono::duration<double>(costs.borrower_time).count();
    const double lender_s = std::chrono::duration<double>(costs.lender_time).count();
    return {{"daemons", model.node_count()},
            {"zones", size.zones},
            {"requests_per_second", requests / seconds},
            {"steady", to_json(steady)},
            {"moving", to_json(moving)},
            {"zone_cut_off", to_json(cut)},
            {"messages_per_daemon_second", static_cast<double>(costs.messages) / daemons / seconds},
            {"bytes_per_daemon_second", static_cast<double>(costs.bytes) / daemons / seconds},
            {"borrower_core_percent", 100.0 * borrower_s / daemons / seconds},
            {"lender_core_percent", 100.0 * lender_s / size.zones / seconds},
            {"naive",
             {{"messages_per_daemon_second", 2.0 * requests / daemons / seconds},
              {"bytes_per_daemon_second", 2.0 * naive_message_bytes * requests / daemons / seconds},
              {"refused_while_zone_cut_off_percent", 100.0 / size.zones}}}};
}

std::size_t allocated()
{
    return ::mallinfo2().uordblks;
}

/// Measures the memory of a borrower and of a lender with 70 daemons that use every tenant.
nlohmann::json memory_per_tenant()
{
    constexpr int tenants = 500;
    constexpr int daemons = 70;
    auto revision = std::make_shared<quota::quota_revision>();
    revision->revision = 1;
    revision->zones = {"a"};
    for (int tenant = 0; tenant < tenants; ++tenant)
    {
        revision->tenants["tenant-" + std::to_string(tenant)] = {.rate = 1000 * token, .burst = 1000 * token};
    }
    const core::time_point now{1h};
    const std::size_t before = allocated();
    quota::borrower<std::mutex> borrower{{"vm", 1}, "a"};
    for (const auto& [tenant, quota] : revision->tenants)
    {
        borrower.attach(tenant);
    }
    const std::size_t with_borrower = allocated();
    quota::lender lender{{.zone = "a", .self = {"vm", 1}, .epoch = {1, 0}, .start_after = now, .terms = {}},
                         now};
    lender.set_authority(now + 1h);
    lender.configure(revision, now);
    const std::size_t with_lender = allocated();
    for (int daemon = 0; daemon < daemons; ++daemon)
    {
        quota::loan_request request;
        request.lender_zone = "a";
        request.sender_zone = "a";
        request.sender = {"vm-" + std::to_string(daemon), 1};
        request.number = 1;
        for (const auto& [tenant, quota] : revision->tenants)
        {
            quota::loan_request_item item;
            item.tenant = tenant;
            item.demand = 10 * token;
            request.items.push_back(std::move(item));
        }
        lender.receive(request, now);
    }
    const std::size_t with_loans = allocated();
    return {{"borrower_bytes", (with_borrower - before) / tenants},
            {"lender_bytes", (with_lender - with_borrower) / tenants},
            {"lender_bytes_per_loan", (with_loans - with_lender) / tenants / daemons}};
}

void print(const nlohmann::json& rows)
{
    std::cout << std::fixed << std::setprecision(3)
              << "daemons zones   req/s | wrongful refusals %            | over | msg/s  bytes/s | core %    "
                 "      | "
                 "naive\n"
              << "                      | steady  moving  zone cut off   |      | per daemon     | borrower "
                 "lender | "
                 "msg/s bytes/s cut %\n";
    for (const auto& row : rows)
    {
        std::uint64_t over = 0;
        for (const char* part : {"steady", "moving", "zone_cut_off"})
        {
            over += row[part]["over_admitted"].get<std::uint64_t>();
        }
        std::cout << std::setw(7) << row["daemons"].get<int>() << std::setw(6) << row["zones"].get<int>()
                  << std::setw(8) << std::setprecision(0) << row["requests_per_second"].get<double>() << " | "
                  << std::setprecision(3);
        for (const char* part : {"steady", "moving", "zone_cut_off"})
        {
            std::cout << std::setw(7) << row[part]["wrongful_refusals_percent"].get<double>() << " ";
        }
        const auto& naive = row["naive"];
        std::cout << "       | " << std::setw(4) << over << " | " << std::setprecision(1) << std::setw(5)
                  << row["messages_per_daemon_second"].get<double>() << std::setw(9)
                  << row["bytes_per_daemon_second"].get<double>() << " | " << std::setprecision(3)
                  << std::setw(8) << row["borrower_core_percent"].get<double>() << std::setw(7)
                  << row["lender_core_percent"].get<double>() << " | " << std::setprecision(1) << std::setw(5)
                  << naive["messages_per_daemon_second"].get<double>() << std::setw(8)
                  << naive["bytes_per_daemon_second"].get<double>() << std::setw(6)
                  << naive["refused_while_zone_cut_off_percent"].get<double>() << "\n";
    }
}

} // namespace

/// Measures the quota escrow in virtual time at growing numbers of daemons.
int main(int argc, char** argv)
{
    CLI::App app{"Over-admission, wrongful refusals and costs of the quota escrow, beside a central counter"};
    std::string json_file;
    std::uint64_t seed = 1;
    std::size_t sizes = 4;
    app.add_option("--json", json_file, "write the figures to this file");
    app.add_option("--seed", seed, "seed of the runs");
    app.add_option("--sizes", sizes, "run only the first so many fleet sizes")->check(CLI::Range(1, 4));
    CLI11_PARSE(app, argc, argv);

    const std::vector<fleet_size> fleets{{2, 4}, {4, 8}, {8, 16}, {10, 70}};
    nlohmann::json rows = nlohmann::json::array();
    for (std::size_t index = 0; index < sizes; ++index)
    {
        rows.push_back(run(fleets[index], seed));
    }
    const nlohmann::json memory = memory_per_tenant();
    print(rows);
    std::cout << "memory per tenant: " << memory.dump() << "\n";
    bool over = false;
    for (const auto& row : rows)
    {
        for (const char* part : {"steady", "moving", "zone_cut_off"})
        {
            over = over || row[part]["over_admitted"].get<std::uint64_t>() > 0;
        }
    }
    if (!json_file.empty())
    {
        std::ofstream{json_file}
            << nlohmann::json{{"seed", seed}, {"fleets", rows}, {"memory_per_tenant", memory}}.dump(2)
            << "\n";
    }
    return over ? 1 : 0;
}
