#ifndef LABURNUMREACH_STANDIN_CHECKED_ANSWER_HPP
#define LABURNUMREACH_STANDIN_CHECKED_ANSWER_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace laburnumreach::standin
{

/// What an answer of the upstream stand-in says.
struct checked_answer
{
    std::string service{};
    std::string instance{};
    std::string request_id{};
};

/// Returns the value that ties an answer to its request, as 16 hex digits.
std::string check_value(std::string_view nonce, std::string_view request_body);

/// Writes an answer as JSON, filled up to the given size.
/// @param bytes size of the text if it is larger than the fixed part
std::string write_answer(const checked_answer& answer, std::string_view check, std::size_t bytes);

/// Returns whether the text is a whole answer to the request with this nonce and body.
bool is_whole_answer(const std::string& text, std::string_view nonce, std::string_view request_body);

} // namespace laburnumreach::standin

#endif
