#ifndef LABURNUMREACH_STANDIN_CONNECTION_HPP
#define LABURNUMREACH_STANDIN_CONNECTION_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/standin/socket_stream.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace laburnumreach::standin
{

/// A caller's TCP connection, with the faults that a handler may apply to it.
class connection : public socket_stream
{
public:
    /// Why a wait ended.
    enum class wake_cause : std::uint8_t
    {
        timeout,
        closed,    ///< The caller closed the connection, or the server stops.
        signalled, ///< Another thread called signal.
    };

    /// @param accepted connected socket; closed by the destructor
    explicit connection(int accepted);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() override;

    /// Waits for the first byte of the next request and forgets what the last request switched on.
    /// @returns false when the caller closed, the server stops or nothing came within the time
    bool wait_for_request(core::duration at_most);

    /// Sleeps until the time is over, the caller closes or signal is called.
    wake_cause wait(core::duration at_most) const;

    /// Sleeps until the time is over or the caller closes.
    /// @returns false when the caller closed
    bool sleep(core::duration time) const;

    /// Waits until the caller closes or the server stops.
    void wait_for_close() const;

    /// Wakes the thread in wait.
    void signal() const;

    /// Sends bytes as they are.
    /// @returns whether all bytes were sent
    bool write_raw(std::string_view bytes);

    /// Drops everything that is written from now on and closes the connection after this request.
    void discard_answer() { this->writes = write_mode::fail; }

    /// Drops everything that is written for this request; the connection stays open.
    void swallow_answer() { this->writes = write_mode::swallow; }

    /// Closes the connection after the answer to this request.
    void close_after_answer() { this->last_request = true; }

    /// Returns whether no further request is to be read.
    bool ends() const { return this->writes == write_mode::fail || this->last_request; }

    /// Bounds the speed of this request's reads; zero is unbounded.
    void pace_reads(std::size_t bytes_per_second) { this->read_pace = bytes_per_second; }

    /// Bounds the speed of this request's writes; zero is unbounded.
    void pace_writes(std::size_t bytes_per_second) { this->write_pace = bytes_per_second; }

    /// Leaves all later requests on this connection without an answer.
    void set_silent() { this->silent = true; }

    /// Returns whether the connection was made silent.
    bool is_silent() const { return this->silent; }

    /// Ends all waits and reads; callable from any thread.
    void shut_down() const;

    ssize_t read(char* buffer, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;

protected:
    bool wait_ready(short events) const override;

private:
    enum class write_mode : std::uint8_t
    {
        send,
        swallow,
        fail,
    };

    const int wake_descriptor;
    std::atomic<bool> silent = false;
    write_mode writes = write_mode::send;
    bool last_request = false;
    std::size_t read_pace = 0;
    std::size_t write_pace = 0;
};

} // namespace laburnumreach::standin

#endif
