#ifndef LABURNUMREACH_CONFIG_CONFIG_DOCUMENT_HPP
#define LABURNUMREACH_CONFIG_CONFIG_DOCUMENT_HPP

#include "laburnumreach/core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumreach::config
{

/// Content of the object config/current in the object store of the platform.
struct config_document
{
    std::uint64_t revision = 0; ///< Positive; grows by one with each accepted update.
    std::string operation_id;   ///< Chosen by the writer to recognise its own write.
    std::string text;           ///< Fleet configuration in TOML.

    friend bool operator==(const config_document&, const config_document&) = default;
};

/// Encodes a document as JSON.
/// @returns invalid_argument for a revision of 0, an operation id that does not have 1 to 128 bytes, or a
///          text that is not UTF-8; too_large above the value limit of the platform (1 MB)
core::result<std::string> encode(const config_document& document);

/// Decodes a document from JSON. The TOML text is not parsed.
/// @returns invalid_argument with the reason when the value is not a valid document
core::result<config_document> decode_config_document(std::string_view value);

} // namespace laburnumreach::config

#endif
