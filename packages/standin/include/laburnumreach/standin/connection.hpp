#ifndef LABURNUMREACH_STANDIN_CONNECTION_HPP
#define LABURNUMREACH_STANDIN_CONNECTION_HPP

#include "laburnumreach/core/time.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <httplib.h>
#include <string>
#include <string_view>

namespace laburnumreach::standin
{

/// A caller's TCP connection as cpp-httplib sees it, with the faults that a handler may apply to it.
class connection : public httplib::Stream
{
public:
    /// Why a wait ended.
    enum class wake_cause
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

    /// Waits for the first byte of the next request.
    /// @returns false when the caller closed, the server stops or nothing came within the time
    bool wait_for_request(core::duration at_most) const;

    /// Sleeps until the time is over, the caller closes or signal is called.
    wake_cause wait(core::duration at_most) const;

    /// Waits until the caller closes or the server stops.
    void wait_for_close() const;

    /// Returns whether the caller has closed its side.
    bool caller_closed() const { return this->wait(core::duration::zero()) == wake_cause::closed; }

    /// Wakes the thread in wait.
    void signal() const;

    /// Drops everything that is written from now on and closes the connection after this request.
    void discard_answer() { this->discard = true; }

    /// Sends bytes as they are.
    /// @returns whether all bytes were sent
    bool write_raw(std::string_view bytes);

    /// Closes the connection after the answer to this request.
    void close_after_answer() { this->last_request = true; }

    /// Returns whether no further request is to be read.
    bool ends() const { return this->discard || this->last_request; }

    /// Leaves all later requests on this connection without an answer.
    void set_silent() { this->silent = true; }

    /// Returns whether the connection was made silent.
    bool is_silent() const { return this->silent; }

    /// Ends all waits and reads; callable from any thread.
    void shut_down() const;

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* buffer, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return this->descriptor; }

private:
    const int descriptor;
    const int wake_descriptor;
    std::atomic<bool> silent = false;
    bool discard = false;
    bool last_request = false;
    // cpp-httplib reads header lines byte by byte.
    std::array<char, 16 * 1024> buffered{};
    std::size_t buffered_begin = 0;
    std::size_t buffered_end = 0;
};

} // namespace laburnumreach::standin

#endif
