#include "laburnumreach/standin/load_scenario.hpp"

#include <array>
#include <optional>
#include <stdexcept>
#include <toml++/toml.h>
#include <utility>

namespace laburnumreach::standin
{

namespace
{

/// Reads the members of one table and refuses unknown ones, so that a misspelt member is not ignored.
class table_reader
{
public:
    table_reader(const toml::table& read_table, std::string table_name)
        : table(read_table), name(std::move(table_name))
    {
    }

    template <typename Value>
    void read(const char* member, Value& value)
    {
        this->known.emplace_back(member);
        if (const toml::node* const node = this->table.get(member))
        {
            const std::optional<Value> found = node->value<Value>();
            if (!found)
            {
                this->fail(member, "has another type");
            }
            value = *found;
        }
    }

    void read(const char* member, std::chrono::milliseconds& value)
    {
        std::int64_t count = value.count();
        this->read(member, count);
        if (count < 0)
        {
            this->fail(member, "is negative");
        }
        value = std::chrono::milliseconds{count};
    }

    void read(const char* member, std::vector<loopback_address>& value)
    {
        this->known.emplace_back(member);
        const toml::array* const list = this->table[member].as_array();
        for (std::size_t index = 0; list != nullptr && index < list->size(); ++index)
        {
            const auto parsed = parse_loopback_address((*list)[index].value_or(std::string{}));
            if (!parsed)
            {
                this->fail(member, parsed.error().message);
            }
            value.push_back(*parsed);
        }
    }

    template <typename Value, std::size_t Count>
    void read_name(const char* member, Value& value,
                   const std::array<std::pair<const char*, Value>, Count>& names)
    {
        std::string text;
        this->read(member, text);
        for (const auto& [known_name, known_value] : names)
        {
            if (text == known_name)
            {
                value = known_value;
                return;
            }
        }
        if (!text.empty())
        {
            this->fail(member, "has the unknown value " + text);
        }
    }

    /// Calls the function with a reader of each table of an array.
    template <typename Function>
    void for_each(const char* member, Function function)
    {
        this->known.emplace_back(member);
        if (const toml::array* const list = this->table[member].as_array())
        {
            for (const toml::node& node : *list)
            {
                if (!node.is_table())
                {
                    this->fail(member, "is not an array of tables");
                }
                table_reader reader{*node.as_table(), member};
                function(reader);
                reader.finish();
            }
        }
    }

    /// Fails when the table has members that were not read.
    void finish() const
    {
        for (const auto& [key, node] : this->table)
        {
            if (std::find(this->known.begin(), this->known.end(), std::string{key.str()}) ==
                this->known.end())
            {
                this->fail(std::string{key.str()}, "is unknown");
            }
        }
    }

    [[noreturn]] void fail(const std::string& member, const std::string& what) const
    {
        throw std::runtime_error{this->name + ": " + member + " " + what};
    }

private:
    const toml::table& table;
    const std::string name;
    std::vector<std::string> known;
};

constexpr std::array<std::pair<const char*, bool>, 2> loop_names{{{"open", false}, {"closed", true}}};
constexpr std::array<std::pair<const char*, load_scenario::retry_mode>, 3> retry_names{
    {{"none", load_scenario::retry_mode::none},
     {"retry_after", load_scenario::retry_mode::retry_after},
     {"hard", load_scenario::retry_mode::hard}}};
constexpr std::array<std::pair<const char*, load_scenario::key_place>, 3> place_names{
    {{"bearer", load_scenario::key_place::bearer},
     {"api_key", load_scenario::key_place::api_key},
     {"query", load_scenario::key_place::query}}};

void read_tenant(table_reader& reader, load_scenario& scenario)
{
    load_scenario::tenant& next = scenario.tenants.emplace_back();
    reader.read("name", next.name);
    reader.read("key", next.key);
    reader.read_name("place", next.place, place_names);
    reader.read("share", next.share);
    reader.for_each("surge",
                    [&next](table_reader& surge_reader)
                    {
                        load_scenario::surge& surge = next.surges.emplace_back();
                        surge_reader.read("from_ms", surge.from);
                        surge_reader.read("to_ms", surge.to);
                        surge_reader.read("factor", surge.factor);
                    });
}

void read_kind(table_reader& reader, load_scenario& scenario)
{
    load_scenario::request_kind& next = scenario.kinds.emplace_back();
    next.method = "GET";
    next.priority = "normal";
    next.timeout = std::chrono::seconds{2};
    reader.read("name", next.name);
    reader.read("service", next.service);
    reader.read("method", next.method);
    reader.read("path", next.path);
    reader.read("priority", next.priority);
    reader.read("share", next.share);
    reader.read("body_bytes", next.body_bytes);
    reader.read("idempotent", next.idempotent);
    reader.read("timeout_ms", next.timeout);
}

load_scenario read_scenario(const toml::table& document)
{
    load_scenario scenario;
    table_reader reader{document, "scenario"};
    reader.read("seed", scenario.seed);
    reader.read_name("loop", scenario.closed_loop, loop_names);
    reader.read("rate", scenario.rate);
    reader.read("callers", scenario.callers);
    reader.read("think_ms", scenario.think);
    reader.read("workers", scenario.workers);
    reader.read("most_requests", scenario.most_requests);
    reader.read("drain_ms", scenario.drain);
    reader.read("daemons", scenario.daemons);
    reader.read("upstreams", scenario.upstreams);
    reader.read_name("retry", scenario.retry, retry_names);
    reader.read("most_retries", scenario.most_retries);
    reader.read("duplicate_share", scenario.duplicate_share);
    reader.read("duplicate_delay_ms", scenario.duplicate_delay);
    reader.for_each("phase",
                    [&scenario](table_reader& phase_reader)
                    {
                        load_scenario::phase& next = scenario.phases.emplace_back();
                        phase_reader.read("name", next.name);
                        phase_reader.read("duration_ms", next.duration);
                        phase_reader.read("multiplier", next.multiplier);
                    });
    reader.for_each("tenant", [&scenario](table_reader& inner) { read_tenant(inner, scenario); });
    reader.for_each("kind", [&scenario](table_reader& inner) { read_kind(inner, scenario); });
    reader.finish();
    if (scenario.phases.empty() || scenario.tenants.empty() || scenario.kinds.empty())
    {
        reader.fail("phase, tenant and kind", "need at least one table each");
    }
    if (scenario.workers == 0 || scenario.workers > most_load_workers)
    {
        reader.fail("workers", "is not in 1.." + std::to_string(most_load_workers));
    }
    return scenario;
}

} // namespace

load_scenario::milliseconds load_scenario::duration() const
{
    milliseconds sum{0};
    for (const phase& each : this->phases)
    {
        sum += each.duration;
    }
    return sum;
}

core::result<load_scenario> parse_load_scenario(std::string_view toml_text)
{
    try
    {
        return read_scenario(toml::parse(toml_text));
    }
    catch (const std::exception& problem) // toml::parse_error is one as well.
    {
        return core::make_error(core::error_code::invalid_argument,
                                std::string{"scenario not understood: "} + problem.what());
    }
}

} // namespace laburnumreach::standin
