#include "laburnumreach/policy_bench/scenario.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace laburnumreach::policy_bench
{

namespace
{

/// Share of the bottleneck that the guaranteed minimum of normal and bulk can take from the critical classes.
constexpr double minimum_shares = 0.15;

scenario base(std::string name)
{
    scenario result;
    result.name = std::move(name);
    result.services = {{.instances = 3, .slots = 270, .parallel = 8.0, .work = milliseconds{8}},
                       {.instances = 4, .slots = 120, .parallel = 5.0, .work = milliseconds{8}},
                       {.instances = 5, .slots = 60, .parallel = 5.0, .work = milliseconds{10}},
                       {.instances = 3, .slots = 25, .parallel = 10.0, .work = milliseconds{15}}};
    result.tenant_weights = {4.0, 4.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0};
    return result;
}

} // namespace

double scenario::bottleneck(bool triggered) const
{
    double least = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < this->services.size(); ++i)
    {
        const bool last = i + 1 == this->services.size();
        least = std::min(least, this->services[i].capacity() / (last && triggered ? this->slowdown : 1.0));
    }
    return least;
}

double scenario::triggered_rate() const
{
    const double mix =
        std::inner_product(this->class_mix.begin(), this->class_mix.end(), this->surge.begin(), 0.0);
    const double total = std::accumulate(this->tenant_weights.begin(), this->tenant_weights.end(), 0.0);
    const double tenants = total + this->tenant_weights[this->surging_tenant] * (this->tenant_factor - 1.0);
    return this->rate * mix * tenants / total;
}

bool scenario::important_load_fits() const
{
    const double important = this->class_mix[0] * this->surge[0] + this->class_mix[1] * this->surge[1];
    const double mix =
        std::inner_product(this->class_mix.begin(), this->class_mix.end(), this->surge.begin(), 0.0);
    return this->triggered_rate() * important / mix <= this->bottleneck(true) * (1.0 - minimum_shares);
}

std::vector<scenario> all_scenarios()
{
    std::vector<scenario> cases;
    cases.push_back(base("deep service slowed"));
    cases.back().slowdown = 4.0;
    cases.push_back(base("surge 3x"));
    cases.back().surge = {3.0, 3.0, 3.0, 3.0};
    cases.push_back(base("surge 10x"));
    cases.back().surge = {3.0, 3.0, 12.0, 15.0};
    cases.push_back(base("hard client retries"));
    cases.back().slowdown = 4.0;
    cases.back().clients = {.retries = 10, .delay = milliseconds{50}, .honours_advice = false};
    cases.push_back(base("one tenant at 10x"));
    cases.back().surging_tenant = 2;
    cases.back().tenant_factor = 10.0;
    cases.push_back(base("wrong load values"));
    cases.back().rate = 1700.0;
    cases.back().wrong_load = true;
    cases.push_back(base("instance in cold start"));
    cases.back().rate = 1500.0;
    cases.back().cold_instance = true;
    cases.push_back(base("instance leaving"));
    cases.back().rate = 1500.0;
    cases.back().leaving_instance = true;
    return cases;
}

} // namespace laburnumreach::policy_bench
