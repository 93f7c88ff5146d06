#include "laburnumreach/http/message_head.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace laburnumreach::http
{

namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr int first_final_status = 200;

using optional_error = std::optional<message_error>;

bool is_digit(char character) noexcept
{
    return character >= '0' && character <= '9';
}

/// Removes the next line and its line end from text.
/// @returns the line without its line end
std::string_view take_line(std::string_view& text)
{
    const std::size_t size = std::min(text.find(line_end), text.size());
    const std::string_view line = text.substr(0, size);
    text.remove_prefix(std::min(size + line_end.size(), text.size()));
    return line;
}

std::string_view trim(std::string_view value)
{
    constexpr std::string_view blanks = " \t";
    value.remove_prefix(std::min(value.find_first_not_of(blanks), value.size()));
    return value.substr(0, value.find_last_not_of(blanks) + 1);
}

optional_error parse_fields(std::string_view text, headers& fields)
{
    for (std::string_view line = take_line(text); !line.empty(); line = take_line(text))
    {
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos)
        {
            return message_error::malformed_field;
        }
        const std::string_view name = line.substr(0, colon);
        const std::string_view value = trim(line.substr(colon + 1));
        if (!is_valid_field(name, {}))
        {
            return message_error::malformed_field;
        }
        if (!is_valid_field(name, value))
        {
            return message_error::control_character;
        }
        fields.emplace(name, value);
    }
    return std::nullopt;
}

/// Determines the framing from Content-Length and Transfer-Encoding.
/// @param default_kind the framing of a message without these fields
tl::expected<body_framing, message_error> parse_framing(const headers& fields, bool is_http_1_0,
                                                        body_framing::kind default_kind)
{
    const std::size_t lengths = fields.count("Content-Length");
    const std::size_t encodings = fields.count("Transfer-Encoding");
    if (lengths > 0 && encodings > 0)
    {
        return tl::unexpected{message_error::length_and_transfer_encoding};
    }
    if (encodings > 0)
    {
        const std::string_view encoding = find_header(fields, "Transfer-Encoding");
        if (encodings > 1 || is_http_1_0 || !equal_ignoring_case(encoding, "chunked"))
        {
            return tl::unexpected{message_error::transfer_encoding_unsupported};
        }
        return body_framing{.type = body_framing::kind::chunked};
    }
    if (lengths > 1)
    {
        return tl::unexpected{message_error::length_repeated};
    }
    if (lengths == 0)
    {
        return body_framing{.type = default_kind};
    }
    // 18 digits fit into 64 bits, so from_chars cannot overflow.
    constexpr std::size_t max_digits = 18;
    const std::string_view text = find_header(fields, "Content-Length");
    if (text.empty() || text.size() > max_digits || !std::all_of(text.begin(), text.end(), is_digit))
    {
        return tl::unexpected{message_error::length_malformed};
    }
    body_framing framing{.type = body_framing::kind::length};
    std::from_chars(text.data(), text.data() + text.size(), framing.length);
    return framing;
}

/// Returns whether a response with this status can have a body.
bool can_have_body(int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status >= first_final_status && status != no_content && status != not_modified;
}

optional_error check_host(const headers& fields)
{
    const std::size_t hosts = fields.count("Host");
    if (hosts != 1)
    {
        return hosts == 0 ? message_error::host_missing : message_error::host_repeated;
    }
    const std::string_view host = find_header(fields, "Host");
    if (host.empty() || host.find_first_of(" \t/?#@,\\") != std::string_view::npos)
    {
        return message_error::host_malformed;
    }
    return std::nullopt;
}

optional_error check_target(std::string_view method, std::string_view target)
{
    const auto is_allowed = [](char character)
    { return character > ' ' && character < '\x7f' && character != '#'; };
    if (method == "CONNECT" || !target.starts_with('/') ||
        !std::all_of(target.begin(), target.end(), is_allowed))
    {
        return message_error::target_not_origin_form;
    }
    return std::nullopt;
}

/// @returns true for HTTP/1.0, false for HTTP/1.1, no value for an unknown version
std::optional<bool> parse_version(std::string_view version)
{
    if (version == "HTTP/1.1")
    {
        return false;
    }
    return version == "HTTP/1.0" ? std::optional{true} : std::nullopt;
}

} // namespace

tl::expected<std::size_t, message_error> find_head_end(std::string_view bytes, std::size_t& scanned,
                                                       std::size_t limit)
{
    constexpr std::string_view head_end = "\r\n\r\n";
    for (std::size_t line_feed = bytes.find('\n', scanned); line_feed != std::string_view::npos;
         line_feed = bytes.find('\n', scanned))
    {
        scanned = line_feed + 1;
        if (scanned > limit)
        {
            return tl::unexpected{message_error::head_too_large};
        }
        if (line_feed == 0 || bytes[line_feed - 1] != '\r')
        {
            return tl::unexpected{message_error::bare_line_break};
        }
        if (scanned == line_end.size())
        {
            return tl::unexpected{message_error::malformed_start_line};
        }
        if (bytes.substr(0, scanned).ends_with(head_end))
        {
            return scanned;
        }
    }
    if (bytes.size() > limit)
    {
        return tl::unexpected{message_error::head_too_large};
    }
    scanned = bytes.size();
    return 0;
}

tl::expected<request_head, message_error> parse_request_head(std::string_view head)
{
    const std::string_view line = take_line(head);
    const std::size_t method_end = line.find(' ');
    const std::size_t target_end = line.rfind(' ');
    if (method_end == std::string_view::npos || method_end == target_end)
    {
        return tl::unexpected{message_error::malformed_start_line};
    }
    const std::string_view method = line.substr(0, method_end);
    const std::string_view target = line.substr(method_end + 1, target_end - method_end - 1);
    if (!is_valid_field(method, {}) || target.find(' ') != std::string_view::npos)
    {
        return tl::unexpected{message_error::malformed_start_line};
    }
    const std::optional<bool> is_http_1_0 = parse_version(line.substr(target_end + 1));
    if (!is_http_1_0)
    {
        return tl::unexpected{message_error::unknown_version};
    }
    request_head parsed{.method = std::string{method}, .target = std::string{target}};
    for (const optional_error error : {check_target(method, target), parse_fields(head, parsed.headers)})
    {
        if (error)
        {
            return tl::unexpected{*error};
        }
    }
    if (const optional_error error = check_host(parsed.headers))
    {
        return tl::unexpected{*error};
    }
    const auto framing = parse_framing(parsed.headers, *is_http_1_0, body_framing::kind::none);
    if (!framing)
    {
        return tl::unexpected{framing.error()};
    }
    parsed.framing = *framing;
    parsed.keep_alive = !*is_http_1_0 && !has_token(parsed.headers, "Connection", "close");
    parsed.expects_continue = !*is_http_1_0 && has_token(parsed.headers, "Expect", "100-continue");
    return parsed;
}

tl::expected<response_head, message_error> parse_response_head(std::string_view head, bool to_head_request)
{
    constexpr std::size_t status_begin = 9; // After "HTTP/1.1 ".
    constexpr std::size_t status_digits = 3;
    const std::string_view line = take_line(head);
    const std::optional<bool> is_http_1_0 = parse_version(line.substr(0, status_begin - 1));
    if (!is_http_1_0)
    {
        return tl::unexpected{message_error::unknown_version};
    }
    const std::string_view status = line.substr(std::min(line.size(), status_begin), status_digits);
    const std::string_view phrase = line.substr(std::min(line.size(), status_begin + status_digits));
    if (line.size() < status_begin || line[status_begin - 1] != ' ' || status.size() != status_digits ||
        status.front() == '0' || !std::all_of(status.begin(), status.end(), is_digit) ||
        (!phrase.empty() && phrase.front() != ' ') || !is_valid_field("phrase", phrase))
    {
        return tl::unexpected{message_error::malformed_start_line};
    }
    response_head parsed;
    std::from_chars(status.data(), status.data() + status.size(), parsed.status);
    if (const optional_error error = parse_fields(head, parsed.headers))
    {
        return tl::unexpected{*error};
    }
    const auto framing = parse_framing(parsed.headers, *is_http_1_0, body_framing::kind::until_close);
    if (!framing)
    {
        return tl::unexpected{framing.error()};
    }
    parsed.framing = !to_head_request && can_have_body(parsed.status) ? *framing : body_framing{};
    parsed.keep_alive = !*is_http_1_0 && !has_token(parsed.headers, "Connection", "close");
    return parsed;
}

bool has_definite_end(int status, const headers& fields)
{
    constexpr int last_status = 599;
    const bool is_well_formed =
        status >= first_final_status && status <= last_status &&
        std::all_of(fields.begin(), fields.end(),
                    [](const auto& field) { return is_valid_field(field.first, field.second); });
    const auto framing = parse_framing(fields, false, body_framing::kind::until_close);
    return is_well_formed && framing &&
           (framing->type != body_framing::kind::until_close || !can_have_body(status));
}

} // namespace laburnumreach::http
