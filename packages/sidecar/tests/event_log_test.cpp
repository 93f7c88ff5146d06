#include "laburnumreach/sidecar/event_log.hpp"

#include "log_pipe.hpp"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against log lines that are lost without a trace.
class event_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_log_test);
    CPPUNIT_TEST(number_of_dropped_lines_survives_a_full_buffer);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Standard output accepts nothing while lines are dropped, nor when their number is to be written.
    void number_of_dropped_lines_survives_a_full_buffer()
    {
        event_log log{"d", this->pipe.descriptor()};
        log.request_event("first", {});
        const std::string filler(1000, 'f');
        constexpr int lines_over_the_limit = 400;
        for (int line = 0; line < lines_over_the_limit; ++line)
        {
            log.state_event("filler", {{"text", filler}});
        }
        constexpr std::chrono::milliseconds window = 1s;
        std::this_thread::sleep_for(window);
        log.request_event("while_full", {});
        std::this_thread::sleep_for(window);
        this->read_all(log);
        log.request_event("after", {});
        const std::string text = this->read_all(log);
        CPPUNIT_ASSERT(text.find("event=after") != std::string::npos);
        const std::size_t found = text.find("event=log_lines_left_out count=");
        CPPUNIT_ASSERT(found != std::string::npos);
        const int left_out =
            std::stoi(text.substr(found + std::string_view{"event=log_lines_left_out count="}.size()));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(left_out), left_out > lines_over_the_limit / 4);
    }

private:
    /// Flushes the log until it is empty.
    std::string read_all(event_log& log)
    {
        constexpr int rounds = 50;
        for (int round = 0; round < rounds; ++round)
        {
            log.flush();
            log.state_event("mark");
            log.flush();
            this->pipe.text();
        }
        return this->pipe.text();
    }

    log_pipe pipe;
};
CPPUNIT_TEST_SUITE_REGISTRATION(event_log_test);

} // namespace laburnumreach::sidecar
