#ifndef LABURNUMREACH_HTTP_BODY_DECODER_HPP
#define LABURNUMREACH_HTTP_BODY_DECODER_HPP

#include "laburnumreach/http/body_framing.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace laburnumreach::http
{

/// Finds the body of one message in the bytes of a connection. The library's chunk reader is not part of its
/// interface.
class body_decoder
{
public:
    enum class state : std::uint8_t
    {
        reading,
        done,
        malformed,
    };

    /// Bytes taken from the input and written to the output by one call.
    struct step
    {
        std::size_t consumed = 0;
        std::size_t produced = 0;
    };

    explicit body_decoder(body_framing framing);

    /// Decodes as much of the input as fits the output. Framing bytes are consumed even when the output is
    /// full.
    step decode(std::string_view input, std::span<char> output);

    /// Returns whether the body has ended.
    state status() const noexcept;

private:
    enum class phase : std::uint8_t
    {
        fixed_length,
        chunk_size,
        chunk_data,
        chunk_end,
        trailer,
        finished,
        failed,
    };

    /// @returns bytes consumed; the line is complete when line_complete is set
    std::size_t take_line(std::string_view input);
    phase after_line();
    phase parse_chunk_size();

    phase current;
    std::uint64_t remaining = 0; ///< Bytes of the body or of the chunk.
    std::string line;
    std::size_t trailer_bytes = 0;
    bool line_complete = false;
};

} // namespace laburnumreach::http

#endif
