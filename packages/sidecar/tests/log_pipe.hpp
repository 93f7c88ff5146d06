#ifndef LABURNUMREACH_SIDECAR_LOG_PIPE_HPP
#define LABURNUMREACH_SIDECAR_LOG_PIPE_HPP

#include <algorithm>
#include <array>
#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace laburnumreach::sidecar
{

/// Catches the lines that an event_log writes.
class log_pipe
{
public:
    log_pipe()
    {
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(this->ends.data()));
        CPPUNIT_ASSERT_EQUAL(0, ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK));
    }

    ~log_pipe()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    log_pipe(const log_pipe&) = delete;
    log_pipe& operator=(const log_pipe&) = delete;

    /// Returns the descriptor to give to the event_log.
    int descriptor() const { return this->ends[1]; }

    /// Returns all that was written so far.
    const std::string& text()
    {
        std::array<char, 4096> block{};
        for (ssize_t count = 1; count > 0;)
        {
            count = ::read(this->ends[0], block.data(), block.size());
            this->collected.append(block.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
        return this->collected;
    }

    bool contains(const std::string& part) { return this->text().find(part) != std::string::npos; }

private:
    std::array<int, 2> ends{};
    std::string collected;
};

} // namespace laburnumreach::sidecar

#endif
