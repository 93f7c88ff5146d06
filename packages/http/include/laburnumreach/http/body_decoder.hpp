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

/// Incrementally decodes the body of one message from the bytes of a connection. cpp-httplib's chunk reader
/// is not part of its public interface.
class body_decoder
{
public:
    enum class state : std::uint8_t
    {
        reading,
        done,
        malformed,
    };

    /// Number of bytes that one call consumed from the input and wrote to the output.
    struct step
    {
        std::size_t consumed = 0;
        std::size_t produced = 0;
    };

    explicit body_decoder(body_framing framing);

    /// Decodes as much of the input as fits into the output. Framing bytes are consumed even when the output
    /// is full.
    step decode(std::string_view input, std::span<char> output);

    /// Returns whether the body is being read, is complete or is malformed.
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

    /// Appends input to the current line, up to the line feed.
    /// @returns number of bytes consumed; line_complete tells whether the line feed was reached
    std::size_t take_line(std::string_view input);
    phase after_line();
    phase parse_chunk_size();

    phase current_phase;
    std::uint64_t remaining = 0; ///< Bytes left in the body or the current chunk.
    std::string line;
    std::size_t trailer_bytes = 0;
    bool line_complete = false;
};

} // namespace laburnumreach::http

#endif
