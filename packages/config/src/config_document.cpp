#include "laburnumreach/config/config_document.hpp"

#include <nlohmann/json.hpp>

namespace laburnumreach::config
{

namespace
{

constexpr std::size_t max_value_bytes = 1'000'000;
constexpr std::size_t max_operation_id_bytes = 128;

core::result<void> check(const config_document& document)
{
    if (document.revision == 0)
    {
        return core::make_error(core::error_code::invalid_argument, "the revision must be positive");
    }
    if (document.operation_id.empty() || document.operation_id.size() > max_operation_id_bytes)
    {
        return core::make_error(core::error_code::invalid_argument,
                                "the operation id must have 1 to 128 characters");
    }
    return {};
}

} // namespace

core::result<std::string> encode(const config_document& document)
{
    if (auto valid = check(document); !valid)
    {
        return tl::unexpected<core::error>{valid.error()};
    }
    try
    {
        const nlohmann::json json{{"revision", document.revision},
                                  {"operation_id", document.operation_id},
                                  {"text", document.text}};
        std::string value = json.dump();
        if (value.size() > max_value_bytes)
        {
            return core::make_error(core::error_code::too_large,
                                    "the configuration has " + std::to_string(value.size()) +
                                        " bytes as JSON, more than " + std::to_string(max_value_bytes));
        }
        return value;
    }
    catch (const nlohmann::json::exception& error)
    {
        return core::make_error(core::error_code::invalid_argument, error.what());
    }
}

core::result<config_document> decode_config_document(std::string_view value)
{
    try
    {
        const auto json = nlohmann::json::parse(value);
        if (!json.is_object() || json.size() != 3 || !json.at("revision").is_number_unsigned())
        {
            return core::make_error(core::error_code::invalid_argument,
                                    "a configuration document must have exactly the fields revision, "
                                    "operation_id and text, and the revision must be a positive integer");
        }
        config_document document{.revision = json.at("revision").get<std::uint64_t>(),
                                 .operation_id = json.at("operation_id").get<std::string>(),
                                 .text = json.at("text").get<std::string>()};
        if (auto valid = check(document); !valid)
        {
            return tl::unexpected<core::error>{valid.error()};
        }
        return document;
    }
    catch (const nlohmann::json::exception& error)
    {
        return core::make_error(core::error_code::invalid_argument,
                                std::string{"not a configuration document: "} + error.what());
    }
}

} // namespace laburnumreach::config
