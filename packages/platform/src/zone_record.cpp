#include "laburnumreach/platform/zone_record.hpp"

#include <cassert>
#include <nlohmann/json.hpp>

namespace laburnumreach::platform
{

std::string zone_object_name(std::string_view zone)
{
    return "zone/" + std::string{zone};
}

namespace
{

nlohmann::json to_json(const std::vector<listed_revision>& revisions)
{
    nlohmann::json list = nlohmann::json::array();
    for (const listed_revision& listed : revisions)
    {
        list.push_back({{"revision", listed.revision}, {"zones", listed.zones}});
    }
    return list;
}

std::vector<listed_revision> parse_revisions(const nlohmann::json& list)
{
    std::vector<listed_revision> revisions;
    for (const nlohmann::json& entry : list)
    {
        revisions.push_back({.revision = entry.at("revision").get<std::uint64_t>(),
                             .zones = entry.at("zones").get<std::vector<std::string>>()});
    }
    return revisions;
}

} // namespace

std::string encode(const zone_record& record)
{
    assert(record.epoch > 0 && !record.operation_id.empty());
    const nlohmann::json json{{"holder", record.holder},
                              {"incarnation", record.incarnation},
                              {"epoch", record.epoch},
                              {"successor", record.successor},
                              {"members", record.members},
                              {"revisions", to_json(record.revisions)},
                              {"operation_id", record.operation_id}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

core::result<zone_record> decode_zone_record(std::string_view value)
{
    try
    {
        const auto json = nlohmann::json::parse(value);
        for (const char* name : {"incarnation", "epoch"})
        {
            if (!json.at(name).is_number_unsigned())
            {
                return core::make_error(core::error_code::invalid_argument,
                                        std::string{name} + " of a zone record must be an unsigned integer");
            }
        }
        zone_record record{.holder = json.at("holder").get<std::string>(),
                           .incarnation = json.at("incarnation").get<std::uint64_t>(),
                           .epoch = json.at("epoch").get<std::uint64_t>(),
                           .successor = json.at("successor").get<std::string>(),
                           .members = json.at("members").get<std::vector<std::string>>(),
                           .revisions = parse_revisions(json.at("revisions")),
                           .operation_id = json.at("operation_id").get<std::string>()};
        if (record.epoch == 0 || record.operation_id.empty() ||
            record.members.size() > zone_record::max_members)
        {
            return core::make_error(core::error_code::invalid_argument,
                                    "a zone record needs a positive epoch, an operation id and at most " +
                                        std::to_string(zone_record::max_members) + " members");
        }
        return record;
    }
    catch (const nlohmann::json::exception& error)
    {
        return core::make_error(core::error_code::invalid_argument,
                                std::string{"not a zone record: "} + error.what());
    }
}

} // namespace laburnumreach::platform
