#include "laburnumreach/sidecar/event_log.hpp"

#include <array>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>
#include <unistd.h>

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
    void setUp() override { CPPUNIT_ASSERT_EQUAL(0, ::pipe(this->ends.data())); }

    void tearDown() override
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    /// Standard output accepts nothing while lines are dropped, nor when their number is to be written.
    void number_of_dropped_lines_survives_a_full_buffer()
    {
        event_log log{"d", this->ends[1]};
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
        std::string text;
        std::array<char, 64 * 1024> block{};
        constexpr int rounds = 50;
        for (int round = 0; round < rounds; ++round)
        {
            log.flush();
            log.state_event("mark");
            log.flush();
            text.append(block.data(),
                        static_cast<std::size_t>(::read(this->ends[0], block.data(), block.size())));
        }
        return text;
    }

    std::array<int, 2> ends{};
};
CPPUNIT_TEST_SUITE_REGISTRATION(event_log_test);

} // namespace laburnumreach::sidecar
