#ifndef LABURNUMREACH_CORE_RESPONSE_FRAMING_HPP
#define LABURNUMREACH_CORE_RESPONSE_FRAMING_HPP

#include <algorithm>
#include <cctype>
#include <string_view>

namespace laburnumreach::core
{

/// Returns whether the text is a token in the sense of RFC 9110, as the name of a header field is.
inline bool is_token(std::string_view text)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [punctuation](unsigned char character)
                       {
                           return character < 0x80 &&
                                  (std::isalnum(character) != 0 ||
                                   punctuation.find(static_cast<char>(character)) != std::string_view::npos);
                       });
}

/// Returns whether the head of a response is well-formed and tells where the body ends, so that a body that
/// was cut off is not taken for a whole one. For responses of an HTTP library that accepts others.
/// @param status status code
/// @param fields header fields: pairs of a name and a value
template <typename Fields>
bool has_definite_end(int status, const Fields& fields)
{
    constexpr int first_final_status = 200;
    constexpr int last_status = 599;
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    int lengths = 0;
    int encodings = 0;
    for (const auto& [name, value] : fields)
    {
        const auto names = [&name = name](std::string_view expected)
        {
            return std::equal(name.begin(), name.end(), expected.begin(), expected.end(),
                              [](unsigned char one, unsigned char other)
                              { return std::tolower(one) == std::tolower(other); });
        };
        if (!is_token(name) || std::any_of(value.begin(), value.end(),
                                           [](unsigned char character)
                                           { return std::iscntrl(character) != 0 && character != '\t'; }))
        {
            return false;
        }
        if (names("content-length"))
        {
            ++lengths;
            if (value.empty() || value.find_first_not_of("0123456789") != value.npos)
            {
                return false;
            }
        }
        encodings += names("transfer-encoding") ? 1 : 0;
    }
    const bool has_no_body = status == no_content || status == not_modified;
    return status >= first_final_status && status <= last_status &&
           lengths + encodings == (has_no_body ? lengths : 1) && lengths <= 1;
}

} // namespace laburnumreach::core

#endif
