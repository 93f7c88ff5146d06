// A small deployment: a store, and machines with a daemon and an instance each.
#pragma once

#include "standins.hh"

namespace review
{

struct machine_plan
{
    std::string name;
    std::string zone;
    std::string service;
    std::function<instance::work(const message&)> work;
    /// Starts an instance of another kind instead; returns a function that tells whether a heartbeat was acknowledged.
    std::function<std::function<bool()>(const instance_options&)> start_other{};
};

/// Starts everything and waits until requests can be served. Threads of the stand-ins run until the case ends, so
/// what they use is never freed; the daemons end with this object.
class deployment
{
public:
    /// Makes a proxy at the first address, for the peer port of the machine with this name at the second one.
    using proxy_maker = std::function<void(const address&, const address&, const std::string&)>;

    deployment(const json& config, const std::vector<machine_plan>& plans, const proxy_maker& make_proxy = {})
    {
        this->platform = new store{this->addresses.store()};
        this->platform->put_config(config);
        std::vector<std::function<bool()>> announced;
        for (std::size_t index = 0; index < plans.size(); ++index)
        {
            const machine_plan& plan = plans[index];
            this->machines.push_back(std::make_unique<machine>(machine::options{
                .ip = this->addresses.ip(static_cast<int>(index) + 1),
                .name = plan.name,
                .zone = plan.zone,
                .service = plan.service,
                .store = this->addresses.store(),
                .folder = this->folder.path,
                .announced_ip = make_proxy ? this->addresses.ip(static_cast<int>(index) + 101) : std::string{}}));
            if (make_proxy)
            {
                const std::string announced = this->addresses.ip(static_cast<int>(index) + 101);
                make_proxy({announced, 7000}, {this->addresses.ip(static_cast<int>(index) + 1), 7000}, plan.name);
            }
            this->machines.back()->start(true);
            const instance_options chosen{.id = "i-" + plan.name,
                                          .service = plan.service,
                                          .zone = plan.zone,
                                          .at = this->machines.back()->app(),
                                          .control = this->machines.back()->control()};
            if (plan.start_other)
            {
                announced.push_back(plan.start_other(chosen));
                continue;
            }
            instance* const started = new instance{chosen, *this->runs, plan.work};
            announced.push_back([started] { return started->acknowledged() > 0; });
        }
        const auto all_up = [&]
        {
            for (std::size_t index = 0; index < plans.size(); ++index)
            {
                if (!this->machines[index]->is_ready() || !announced[index]())
                {
                    return false;
                }
            }
            return true;
        };
        if (!wait_until(all_up, milliseconds{15'000}))
        {
            throw setup_error{"the deployment did not start"};
        }
        std::this_thread::sleep_for(milliseconds{4000}); // Links, members and shares of the limits settle.
    }

    machine& at(std::size_t index) { return *this->machines[index]; }

    network addresses;
    temporary_folder folder;
    run_log* runs = new run_log;
    store* platform = nullptr;
    std::vector<std::unique_ptr<machine>> machines;
};

inline json route(const std::string& name, const std::string& prefix, const std::string& kind,
                  const std::string& service, double timeout_s, double slo_s, int priority, bool no_auth = false)
{
    return {{"name", name},         {"pathPrefix", prefix},  {"kind", kind},     {"timeoutS", timeout_s}, {"sloS", slo_s},
            {"priority", priority}, {"service", service}, {"maxAttempts", 2}, {"noAuth", no_auth}};
}

inline json configuration(const json& services, const json& tenants, const json& paths)
{
    json listed = json::array();
    for (const auto& name : services)
    {
        listed.push_back({{"name", name}, {"healthPath", "/health"}, {"maxConns", 1510}, {"protocol", "h1"}, {"tls", false}});
    }
    return {{"version", 7},
            {"services", listed},
            {"limits",
             {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 67108864}, {"headerTimeoutS", 3}, {"idleTimeoutS", 15}}},
            {"tenants", tenants},
            {"hosts", json::array({{{"host", "hulo84.example"}, {"paths", paths}}})}};
}

inline json tenant(const std::string& name, const std::string& key, double rate, double burst)
{
    return {{"name", name}, {"apiKeys", json::array({key})}, {"priority", 1}, {"ratePerS", rate}, {"burst", burst}};
}

} // namespace review
