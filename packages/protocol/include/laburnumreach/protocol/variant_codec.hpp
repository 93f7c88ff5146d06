#ifndef LABURNUMREACH_PROTOCOL_VARIANT_CODEC_HPP
#define LABURNUMREACH_PROTOCOL_VARIANT_CODEC_HPP

#include "laburnumreach/protocol/message_codec.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace laburnumreach::protocol
{

/// Encodes the alternative that a variant holds, preceded by its index in one byte.
template <typename... Alternatives>
std::vector<std::uint8_t> encode_variant(const std::variant<Alternatives...>& value)
{
    static_assert(sizeof...(Alternatives) < 128, "the index takes one byte");
    std::vector<std::uint8_t> bytes =
        std::visit([](const auto& alternative) { return encode_message(alternative); }, value);
    bytes.insert(bytes.begin(), static_cast<std::uint8_t>(value.index()));
    return bytes;
}

/// Decodes the result of encode_variant.
/// @returns no value for an unknown index or a malformed message
template <typename Variant>
std::optional<Variant> decode_variant(std::span<const std::uint8_t> bytes)
{
    std::optional<Variant> result;
    if (bytes.empty())
    {
        return result;
    }
    const auto decode_alternative = [&]<std::size_t Index>()
    {
        if (bytes.front() == Index)
        {
            if (auto decoded = decode_message<std::variant_alternative_t<Index, Variant>>(bytes.subspan(1)))
            {
                result.emplace(std::in_place_index<Index>, *std::move(decoded));
            }
        }
    };
    [&]<std::size_t... Index>(std::index_sequence<Index...>)
    {
        (decode_alternative.template operator()<Index>(), ...);
    }
    (std::make_index_sequence<std::variant_size_v<Variant>>{});
    return result;
}

} // namespace laburnumreach::protocol

#endif
