#include "laburnumreach/ctl/config_commands.hpp"
#include "laburnumreach/ctl/fleet_status.hpp"
#include "laburnumreach/platform/http_object_store.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <functional>
#include <iostream>

namespace
{

using namespace laburnumreach;
using commands = ctl::config_commands<platform::http_object_store>;

constexpr std::chrono::milliseconds request_timeout{5000};
/// Tries of an edit with --retry. Each lost race means that another operator's change was stored.
constexpr unsigned tries_with_retry = 10;

const CLI::Validator endpoint_check{[](const std::string& text) {
                                        return config::parse_endpoint(text)
                                                   ? std::string{}
                                                   : "'" + text + "' is not an IP number and a port";
                                    },
                                    "IP:PORT"};

/// Arguments of all commands.
struct arguments
{
    std::string platform;
    bool json = false;
    bool retry = false;
    std::vector<std::string> admins;
    std::string file;
    std::optional<std::uint64_t> expected_revision;
    std::string tenant;
    std::string key_id;
    std::optional<double> rate;
    std::optional<double> burst;
    double weight = 1.0;
    std::string service;
    std::string route;
    std::string priority;
    std::string subject;
};

platform::http_object_store connect(const arguments& given)
{
    const auto address = config::parse_endpoint(given.platform);
    if (!address)
    {
        throw CLI::RequiredError{"--platform"};
    }
    return platform::http_object_store{{.address = address->address,
                                        .port = address->port,
                                        .request_timeout = request_timeout,
                                        .daemon_id = {},
                                        .zone = {}}};
}

core::result<std::string> fetch(const config::endpoint& daemon, const std::string& path)
{
    return ctl::fetch_admin(daemon, path, request_timeout);
}

/// Runs a command on the text of a file.
template <typename Command>
ctl::report with_file(const arguments& given, const Command& command)
{
    const auto text = ctl::read_text(given.file);
    return text ? command(*text) : ctl::error_report(text.error());
}

template <typename Change>
ctl::report edit(const arguments& given, const Change& change)
{
    platform::http_object_store store = connect(given);
    return commands{store}.edit(change, given.retry ? tries_with_retry : 1);
}

ctl::report grant_key(const arguments& given)
{
    const std::string key = ctl::random_hex(ctl::key_bytes);
    const std::string id = given.key_id.empty() ? "k-" + ctl::random_hex(4) : given.key_id;
    ctl::report result =
        edit(given, [&](config::fleet_config& fleet)
             { return config::grant_key(fleet, given.tenant, id, config::sha256_of_key(key)); });
    // The key of a change whose answer was lost is shown too: it may be in force and cannot be read later.
    if (result.code == ctl::exit_code::ok || result.code == ctl::exit_code::unreachable)
    {
        result.text += "key id: " + id + "\nkey: " + key + "\nThe key is not stored and not shown again.\n";
        result.json["key_id"] = id;
        result.json["key"] = key;
    }
    return result;
}

ctl::report show_status(const arguments& given)
{
    ctl::report result;
    if (!given.platform.empty())
    {
        ctl::add_zones(result, connect(given).list("zone/"));
    }
    std::vector<config::endpoint> daemons;
    for (const std::string& admin : given.admins)
    {
        daemons.push_back(*config::parse_endpoint(admin));
    }
    ctl::add_daemons(result, daemons, fetch);
    return result;
}

ctl::report explain(const arguments& given)
{
    const auto daemon = given.admins.empty() ? std::nullopt : config::parse_endpoint(given.admins.front());
    return ctl::explain(given.subject, daemon, fetch);
}

/// Declares the commands on the command line; a parsed one sets selected.
class command_line
{
public:
    explicit command_line(CLI::App& program) : app(program)
    {
        this->app.require_subcommand(1);
        this->app.add_option("--platform", this->given.platform, "Address of the platform")
            ->check(endpoint_check);
        this->app.add_flag("--json", this->given.json, "Print JSON");
        this->add_text_commands();
        this->add_tenant_commands();
        this->add_instance_commands();
        this->add_status_commands();
    }

    const arguments& parsed() const { return this->given; }
    ctl::report run() const { return this->selected(); }

private:
    CLI::App* add(CLI::App& parent, const std::string& name, const std::string& description,
                  std::function<ctl::report()> command)
    {
        CLI::App* added = parent.add_subcommand(name, description)->fallthrough();
        added->callback([this, command = std::move(command)] { this->selected = command; });
        return added;
    }

    template <typename Change>
    CLI::App* add_edit(CLI::App& parent, const std::string& name, const std::string& description,
                       Change change)
    {
        return this->add_retry(this->add(parent, name, description,
                                         [this, change] {
                                             return edit(this->given, [&](config::fleet_config& fleet)
                                                         { return change(this->given, fleet); });
                                         }));
    }

    CLI::App* add_retry(CLI::App* command)
    {
        command->add_flag("--retry", this->given.retry, "After a conflict, make the edit on the newer text");
        return command;
    }

    void add_text_commands()
    {
        const auto add_file = [&](CLI::App* command) {
            command->add_option("file", this->given.file, "Operators' text; - for standard input")
                ->required();
        };
        add_file(this->add(this->app, "validate", "Check an operators' text",
                           [this]
                           {
                               return with_file(this->given, [&](const std::string& text)
                                                { return ctl::validate(this->given.file, text); });
                           }));
        add_file(this->add(this->app, "diff", "Show what applying a text would change",
                           [this]
                           {
                               return with_file(this->given,
                                                [&](const std::string& text)
                                                {
                                                    auto store = connect(this->given);
                                                    return commands{store}.diff(this->given.file, text);
                                                });
                           }));
        CLI::App* apply =
            this->add(this->app, "apply", "Put a text in force",
                      [this]
                      {
                          return with_file(this->given,
                                           [&](const std::string& text)
                                           {
                                               auto store = connect(this->given);
                                               return commands{store}.apply(this->given.file, text,
                                                                            this->given.expected_revision);
                                           });
                      });
        add_file(apply);
        apply->add_option("--expect-revision", this->given.expected_revision,
                          "Refuse if the platform has another revision");
        this->add(this->app, "show", "Print the text in force",
                  [this]
                  {
                      auto store = connect(this->given);
                      return commands{store}.show();
                  });
    }

    void add_tenant_commands()
    {
        const auto add_tenant = [&](CLI::App* command)
        { command->add_option("tenant", this->given.tenant, "Tenant")->required(); };
        CLI::App& key = *this->add_group("key", "Keys of a tenant");
        CLI::App* grant =
            this->add_retry(this->add(key, "grant", "Make a key, print it once and store its digest",
                                      [this] { return grant_key(this->given); }));
        add_tenant(grant);
        grant->add_option("--id", this->given.key_id, "Id of the key; random without one");
        CLI::App* withdraw = this->add_edit(key, "withdraw", "Withdraw a key",
                                            [](const arguments& from, config::fleet_config& fleet) {
                                                return config::withdraw_key(fleet, from.tenant, from.key_id);
                                            });
        add_tenant(withdraw);
        withdraw->add_option("id", this->given.key_id, "Id of the key")->required();

        CLI::App* rate =
            this->add_edit(*this->add_group("rate", "Rate of a tenant"), "set", "Set rate and burst",
                           [](const arguments& from, config::fleet_config& fleet)
                           { return config::set_rate(fleet, from.tenant, from.rate, from.burst); });
        add_tenant(rate);
        CLI::Option_group* values = rate->add_option_group("values");
        values->add_option("--rate", this->given.rate, "Requests per second over the whole fleet");
        values->add_option("--burst", this->given.burst, "Requests");
        values->require_option(1, 2);

        CLI::App* weight =
            this->add_edit(*this->add_group("weight", "Weight of a tenant"), "set", "Set the weight",
                           [](const arguments& from, config::fleet_config& fleet)
                           { return config::set_weight(fleet, from.tenant, from.weight); });
        add_tenant(weight);
        weight->add_option("weight", this->given.weight, "Share within a class")->required();
    }

    void add_instance_commands()
    {
        CLI::App* priority =
            this->add_edit(*this->add_group("priority", "Class of a route"), "set", "Set the class",
                           [](const arguments& from, config::fleet_config& fleet)
                           {
                               return config::set_priority(fleet, from.service, from.route,
                                                           *core::parse_priority_class(from.priority));
                           });
        priority->add_option("service", this->given.service, "Service")->required();
        priority->add_option("route", this->given.route, "Name of the route")->required();
        priority->add_option("class", this->given.priority, "Class")
            ->required()
            ->check(CLI::IsMember({"critical_fast", "critical", "normal", "bulk"}));
        const auto add_instance = [&](CLI::App* command)
        { command->add_option("instance", this->given.subject, "Name of the instance")->required(); };
        add_instance(this->add_edit(this->app, "drain", "Stop new work for an instance",
                                    [](const arguments& from, config::fleet_config& fleet)
                                    { return config::drain_instance(fleet, from.subject); }));
        add_instance(this->add_edit(this->app, "undrain", "Allow new work for an instance",
                                    [](const arguments& from, config::fleet_config& fleet)
                                    { return config::undrain_instance(fleet, from.subject); }));
    }

    void add_status_commands()
    {
        CLI::App* status = this->add(this->app, "status", "Show zone records and daemons",
                                     [this] { return show_status(this->given); });
        status->add_option("--admin", this->given.admins, "Admin address of a daemon; may be repeated")
            ->check(endpoint_check);
        CLI::App* explain_command = this->add(this->app, "explain", "Explain a request id or a reason",
                                              [this] { return explain(this->given); });
        explain_command->add_option("--admin", this->given.admins, "Admin address of the daemon")
            ->expected(1)
            ->check(endpoint_check);
        explain_command->add_option("subject", this->given.subject, "Request id or name of a reason")
            ->required();
    }

    CLI::App* add_group(const std::string& name, const std::string& description)
    {
        return this->app.add_subcommand(name, description)->fallthrough()->require_subcommand(1);
    }

    CLI::App& app;
    arguments given;
    std::function<ctl::report()> selected;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Operators' tool of laburnumreach", "laburnumctl"};
    command_line line{app};
    ctl::report result;
    try
    {
        app.parse(argc, argv);
        result = line.run();
    }
    catch (const CLI::ParseError& error)
    {
        return app.exit(error) == 0 ? 0 : static_cast<int>(ctl::exit_code::usage);
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
        return static_cast<int>(ctl::exit_code::refused);
    }
    const bool good = result.code == ctl::exit_code::ok;
    if (line.parsed().json)
    {
        std::cout << result.json.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace)
                  << '\n';
    }
    else
    {
        (good ? std::cout : std::cerr) << result.text;
    }
    return static_cast<int>(result.code);
}
