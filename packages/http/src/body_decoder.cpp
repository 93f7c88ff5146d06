#include "laburnumreach/http/body_decoder.hpp"

#include "laburnumreach/http/headers.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace laburnumreach::http
{

namespace
{

constexpr std::size_t max_line_bytes = 1024;
constexpr std::size_t max_trailer_bytes = 8 * 1024;
/// 15 hexadecimal digits fit into 64 bits.
constexpr std::size_t max_size_digits = 15;

} // namespace

body_decoder::body_decoder(body_framing framing) : current_phase(phase::finished)
{
    if (framing.type == body_framing::kind::chunked)
    {
        this->current_phase = phase::chunk_size;
    }
    else if (framing.type == body_framing::kind::length && framing.length > 0)
    {
        this->current_phase = phase::fixed_length;
        this->remaining = framing.length;
    }
}

body_decoder::state body_decoder::status() const noexcept
{
    if (this->current_phase == phase::failed)
    {
        return state::malformed;
    }
    return this->current_phase == phase::finished ? state::done : state::reading;
}

body_decoder::step body_decoder::decode(std::string_view input, std::span<char> output)
{
    step total;
    while (this->status() == state::reading && total.consumed < input.size())
    {
        const std::string_view rest = input.substr(total.consumed);
        if (this->current_phase == phase::fixed_length || this->current_phase == phase::chunk_data)
        {
            const std::size_t room = std::min(rest.size(), output.size() - total.produced);
            const std::size_t size = std::min<std::uint64_t>(this->remaining, room);
            if (size == 0)
            {
                break;
            }
            std::memcpy(output.data() + total.produced, rest.data(), size);
            total.consumed += size;
            total.produced += size;
            this->remaining -= size;
            if (this->remaining == 0)
            {
                this->current_phase =
                    this->current_phase == phase::chunk_data ? phase::chunk_end : phase::finished;
            }
            continue;
        }
        total.consumed += this->take_line(rest);
        if (this->line_complete)
        {
            this->current_phase = this->after_line();
            this->line.clear();
            this->line_complete = false;
        }
        else if (this->line.size() > max_line_bytes)
        {
            this->current_phase = phase::failed;
        }
    }
    return total;
}

std::size_t body_decoder::take_line(std::string_view input)
{
    const std::size_t line_feed = input.find('\n');
    this->line_complete = line_feed != std::string_view::npos;
    const std::size_t size = std::min(this->line_complete ? line_feed + 1 : input.size(), max_line_bytes + 1);
    this->line_complete = this->line_complete && size == line_feed + 1;
    this->line.append(input.substr(0, size));
    return size;
}

body_decoder::phase body_decoder::after_line()
{
    if (!this->line.ends_with("\r\n"))
    {
        return phase::failed;
    }
    this->line.resize(this->line.size() - 2);
    if (!is_valid_field("line", this->line))
    {
        return phase::failed;
    }
    switch (this->current_phase)
    {
    case phase::chunk_size:
        return this->parse_chunk_size();
    case phase::chunk_end:
        return this->line.empty() ? phase::chunk_size : phase::failed;
    default:
        // Trailer fields are dropped because they arrive after the header fields were validated.
        this->trailer_bytes += this->line.size();
        if (this->trailer_bytes > max_trailer_bytes)
        {
            return phase::failed;
        }
        return this->line.empty() ? phase::finished : phase::trailer;
    }
}

body_decoder::phase body_decoder::parse_chunk_size()
{
    const char* const begin = this->line.data();
    const char* const end = begin + this->line.size();
    const auto [after, error] = std::from_chars(begin, end, this->remaining, 16);
    const std::size_t digits = after - begin;
    // from_chars accepts a minus sign only for signed types. Only a chunk extension may follow the digits.
    if (error != std::errc{} || digits > max_size_digits || (after != end && *after != ';'))
    {
        return phase::failed;
    }
    return this->remaining == 0 ? phase::trailer : phase::chunk_data;
}

} // namespace laburnumreach::http
