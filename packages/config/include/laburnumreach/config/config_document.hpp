#ifndef LABURNUMREACH_CONFIG_CONFIG_DOCUMENT_HPP
#define LABURNUMREACH_CONFIG_CONFIG_DOCUMENT_HPP

#include "laburnumreach/core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumreach::config
{

/// Content of the platform object config/current.
struct config_document
{
    std::uint64_t revision = 0; ///< Positive; grows by one with each accepted update.
    std::string operation_id;   ///< Chosen by the writer, so that it recognises its own write.
    std::string text;           ///< Operators' text.

    friend bool operator==(const config_document&, const config_document&) = default;
};

/// Encodes a document as JSON.
/// @returns invalid_argument for a revision of 0, an empty operation id or a text that is not UTF-8;
///          too_large when the platform could not store the value (1 MB)
core::result<std::string> encode(const config_document& document);

/// Decodes a document. The text within is not parsed.
/// @returns invalid_argument with the reason when the value is not a valid document
core::result<config_document> decode_config_document(std::string_view value);

} // namespace laburnumreach::config

#endif
