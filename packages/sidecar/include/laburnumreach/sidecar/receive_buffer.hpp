#ifndef LABURNUMREACH_SIDECAR_RECEIVE_BUFFER_HPP
#define LABURNUMREACH_SIDECAR_RECEIVE_BUFFER_HPP

#include "laburnumreach/sidecar/asio.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace laburnumreach::sidecar
{

/// State of a connection after a read.
enum class receive_result : std::uint8_t
{
    open,   ///< The peer may send more.
    closed, ///< The peer closed its side after the received bytes.
    broken, ///< The connection was reset or failed.
};

/// Received bytes of one connection that are not consumed yet.
///
/// Saves memory of idle connections: bytes are read into a block that all connections of a thread share, and
/// only unconsumed bytes are stored.
class receive_buffer
{
public:
    /// Size of the shared block, large enough for most messages in one system call.
    static constexpr std::size_t block_bytes = 128 * 1024;

    /// Reads once.
    /// @param most_bytes largest number of bytes to read; block_bytes at most
    receive_result receive(tcp::socket& socket, std::size_t most_bytes = block_bytes)
    {
        static thread_local std::array<char, block_bytes> block;
        error_code error;
        const std::size_t count =
            socket.read_some(asio::buffer(block.data(), std::min(most_bytes, block_bytes)), error);
        this->compact();
        this->bytes.append(block.data(), count);
        if (error == asio::error::would_block || error == asio::error::try_again)
        {
            return receive_result::open;
        }
        if (error == asio::error::eof)
        {
            return receive_result::closed;
        }
        return error ? receive_result::broken : receive_result::open;
    }

    std::string_view view() const noexcept { return std::string_view{this->bytes}.substr(this->begin); }

    /// Removes bytes from the front.
    void consume(std::size_t count) noexcept
    {
        constexpr std::size_t kept_bytes = 16 * 1024;
        this->begin += count;
        const std::size_t left = this->bytes.size() - this->begin;
        if (left == 0 || (this->bytes.capacity() > block_bytes * 2 && left < block_bytes))
        {
            this->compact(); // The room that a large message took is given back.
            if (this->bytes.capacity() > kept_bytes)
            {
                this->bytes.shrink_to_fit();
            }
        }
    }

    std::size_t size() const noexcept { return this->bytes.size(); }

    /// Returns the number of bytes that are allocated.
    std::size_t capacity() const noexcept { return this->bytes.capacity(); }

    /// Makes room for so many unconsumed bytes, so that the buffer does not grow in steps meanwhile.
    void reserve(std::size_t count)
    {
        this->compact();
        this->bytes.reserve(count);
    }

    bool empty() const noexcept { return this->begin == this->bytes.size(); }

private:
    void compact()
    {
        if (this->begin > 0)
        {
            this->bytes.erase(0, this->begin);
            this->begin = 0;
        }
    }

    std::string bytes;
    std::size_t begin = 0;
};

} // namespace laburnumreach::sidecar

#endif
