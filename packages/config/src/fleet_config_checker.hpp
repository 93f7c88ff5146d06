#ifndef LABURNUMREACH_CONFIG_SRC_FLEET_CONFIG_CHECKER_HPP
#define LABURNUMREACH_CONFIG_SRC_FLEET_CONFIG_CHECKER_HPP

#include "laburnumreach/config/fleet_config.hpp"
#include "toml_reader.hpp"

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

namespace laburnumreach::config
{

/// Readers of the TOML tables of the entries of a fleet_config, in the same order.
struct fleet_readers
{
    toml_reader root;
    std::vector<toml_reader> services;
    std::vector<toml_reader> routes;
    std::vector<toml_reader> tenants;
    std::vector<std::vector<toml_reader>> keys; ///< By tenant.
};

/// Validates rules that span several entries of a configuration, and reports errors at their positions in the
/// text. Skips entries with an empty name, which were reported when they were read.
class fleet_config_checker
{
public:
    fleet_config_checker(const fleet_config& checked, fleet_readers& checked_readers)
        : config(checked), readers(checked_readers)
    {
    }

    /// Runs all checks.
    void check();

private:
    using name_index = std::map<std::string_view, std::size_t>;

    void check_zones();
    void check_services();
    void check_cycles();
    void check_routes();
    void check_route_rules(std::size_t index);
    void check_tenants();
    void check_references(toml_reader& reader, std::string_view name, const std::vector<std::string>& values,
                          const name_index& known_names, std::string_view kind);

    const fleet_config& config;
    fleet_readers& readers;
    name_index services;
    name_index tenants;
};

} // namespace laburnumreach::config

#endif
