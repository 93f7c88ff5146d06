#ifndef LABURNUMREACH_SIDECAR_SEND_QUEUE_HPP
#define LABURNUMREACH_SIDECAR_SEND_QUEUE_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/asio.hpp"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace laburnumreach::sidecar
{

/// Bytes to be sent on one connection, in order. At most one send is in progress; bytes added meanwhile are
/// sent together in the next one.
class send_queue
{
public:
    void add(std::string_view bytes) { this->waiting.append(bytes); }

    /// Adds bytes without a copy where nothing else waits.
    void add(std::string&& bytes)
    {
        if (this->waiting.empty())
        {
            this->waiting = std::move(bytes);
            return;
        }
        this->waiting.append(bytes);
    }

    void add(const char* text) { this->add(std::string_view{text}); }

    /// Starts sending unless a send is in progress.
    /// @param owner keeps the socket alive until the send ends
    /// @param ended called with the result each time the queue becomes empty or a send fails
    void flush(tcp::socket& socket, std::shared_ptr<void> owner, std::function<void(const error_code&)> ended)
    {
        if (this->in_progress || this->waiting.empty())
        {
            return;
        }
        this->in_progress = true;
        this->progress_time = core::boot_clock::now();
        this->sending.swap(this->waiting);
        this->waiting.clear();
        const auto completion_condition = [this](const error_code& error, std::size_t count)
        {
            this->progress_time = core::boot_clock::now();
            return asio::transfer_all()(error, count);
        };
        asio::async_write(socket, asio::buffer(this->sending), completion_condition,
                          [this, &socket, owner = std::move(owner),
                           ended = std::move(ended)](const error_code& error, std::size_t) mutable
                          {
                              this->in_progress = false;
                              this->sending.clear();
                              constexpr std::size_t kept_bytes = 16 * 1024;
                              for (std::string* buffer : {&this->sending, &this->waiting})
                              {
                                  if (buffer->empty() && buffer->capacity() > kept_bytes)
                                  {
                                      buffer->shrink_to_fit();
                                  }
                              }
                              if (!error && !this->waiting.empty())
                              {
                                  this->flush(socket, std::move(owner), std::move(ended));
                                  return;
                              }
                              ended(error);
                          });
    }

    /// Returns the time at which the peer last accepted bytes.
    core::time_point last_progress() const noexcept { return this->progress_time; }

    /// Returns the number of bytes that are not sent yet, and of those whose send is in progress.
    std::size_t size() const noexcept { return this->waiting.size() + this->sending.size(); }

    /// Returns the number of bytes that are allocated.
    std::size_t capacity() const noexcept { return this->waiting.capacity() + this->sending.capacity(); }

    bool idle() const noexcept { return !this->in_progress && this->waiting.empty(); }

private:
    std::string waiting;
    std::string sending;
    bool in_progress = false;
    core::time_point progress_time{};
};

} // namespace laburnumreach::sidecar

#endif
