#include "laburnumreach/http/message_error.hpp"

#include <array>

namespace laburnumreach::http
{

std::string_view to_string(message_error value) noexcept
{
    // In the order of the enumerators.
    constexpr std::array<std::string_view, message_error_count> names{"malformed_start_line",
                                                                      "unknown_version",
                                                                      "target_not_origin_form",
                                                                      "bare_line_break",
                                                                      "control_character",
                                                                      "malformed_field",
                                                                      "head_too_large",
                                                                      "host_missing",
                                                                      "host_repeated",
                                                                      "host_malformed",
                                                                      "length_repeated",
                                                                      "length_malformed",
                                                                      "length_and_transfer_encoding",
                                                                      "transfer_encoding_unsupported",
                                                                      "body_malformed"};
    return names[static_cast<std::size_t>(value)];
}

} // namespace laburnumreach::http
