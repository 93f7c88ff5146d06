#include "laburnumreach/standin/checked_answer.hpp"

#include <array>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace laburnumreach::standin
{

namespace
{

std::string to_hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

} // namespace

std::string check_value(std::string_view nonce, std::string_view request_body)
{
    const std::uint64_t seed = XXH64(nonce.data(), nonce.size(), 0);
    return to_hex(XXH64(request_body.data(), request_body.size(), seed));
}

std::string write_answer(const checked_answer& answer, std::string_view check, std::size_t bytes)
{
    const std::string empty_hash = to_hex(0);
    nlohmann::json document{{"service", answer.service},
                            {"instance", answer.instance},
                            {"request_id", answer.request_id},
                            {"check", check},
                            {"padding", ""},
                            {"padding_hash", empty_hash}};
    const std::size_t fixed_bytes = document.dump().size();
    std::string padding;
    const std::size_t padding_bytes = bytes > fixed_bytes ? bytes - fixed_bytes : 0;
    padding.reserve(padding_bytes + check.size());
    while (padding.size() < padding_bytes)
    {
        padding += check;
    }
    padding.resize(padding_bytes);
    document["padding_hash"] = to_hex(XXH64(padding.data(), padding.size(), 0));
    document["padding"] = std::move(padding);
    return document.dump();
}

bool is_whole_answer(const std::string& text, std::string_view nonce, std::string_view request_body)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("padding") || !document["padding"].is_string())
    {
        return false;
    }
    const auto& padding = document["padding"].get_ref<const std::string&>();
    return document.value("check", "") == check_value(nonce, request_body) &&
           document.value("padding_hash", "") == to_hex(XXH64(padding.data(), padding.size(), 0));
}

} // namespace laburnumreach::standin
