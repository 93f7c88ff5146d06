#include "laburnumreach/standin/upstream_faults.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace laburnumreach::standin
{

namespace
{

constexpr std::array<std::pair<const char*, upstream_faults::damage>, 3> damage_names{
    {{"cut_answers", upstream_faults::damage::cut},
     {"wrong_length", upstream_faults::damage::wrong_length},
     {"no_length", upstream_faults::damage::no_length}}};

upstream_faults::lasting parse_lasting(const nlohmann::json& document)
{
    static const std::map<std::string, upstream_faults::silence> silences{
        {"none", upstream_faults::silence::none},
        {"open", upstream_faults::silence::open},
        {"all", upstream_faults::silence::all}};
    upstream_faults::lasting parsed;
    parsed.slow_factor = document.value("slow_factor", 1.0);
    parsed.silent = silences.at(document.value("silent", "none"));
    parsed.refuse = document.value("refuse", false);
    parsed.reader_bytes_per_second = document.value("slow_reader", std::size_t{0});
    parsed.writer_bytes_per_second = document.value("slow_writer", std::size_t{0});
    if (document.contains("lie_load"))
    {
        parsed.announced_load = document.at("lie_load").get<double>();
    }
    parsed.load_lag = document.value("lag_load", std::size_t{0});
    parsed.stop_announcing = document.value("stop_announcing", false);
    if (document.contains("wrong_length"))
    {
        parsed.length_delta = document.at("wrong_length").value("delta", parsed.length_delta);
    }
    return parsed;
}

} // namespace

core::result<void> upstream_faults::replace(std::string_view text)
{
    try
    {
        const nlohmann::json document = nlohmann::json::parse(text);
        const lasting parsed = parse_lasting(document);
        std::map<damage, chance> chances;
        for (const auto& [name, what] : damage_names)
        {
            if (!document.contains(name))
            {
                continue;
            }
            const nlohmann::json& item = document.at(name);
            chance& next = chances[what];
            next.probability = item.value("probability", 1.0);
            if (item.contains("count"))
            {
                next.remaining = item.at("count").get<std::uint64_t>();
            }
        }
        const std::lock_guard lock{this->mutex};
        this->held = parsed;
        this->damages = std::move(chances);
        return {};
    }
    catch (const std::exception& problem)
    {
        return core::make_error(core::error_code::invalid_argument,
                                std::string{"faults not understood: "} + problem.what());
    }
}

upstream_faults::lasting upstream_faults::current() const
{
    const std::lock_guard lock{this->mutex};
    return this->held;
}

upstream_faults::damage upstream_faults::next_damage()
{
    const std::lock_guard lock{this->mutex};
    for (auto& [what, next] : this->damages)
    {
        if (next.remaining != 0U && this->random.chance(next.probability))
        {
            if (next.remaining)
            {
                --*next.remaining;
            }
            return what;
        }
    }
    return damage::none;
}

} // namespace laburnumreach::standin
