#include "laburnumreach/sidecar/retained_replies.hpp"

#include "laburnumreach/sidecar/call_reasons.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against responses that are kept for daemons until the process has no memory left, and against calls
/// that count as not received after their response was dropped.
class retained_replies_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retained_replies_test);
    CPPUNIT_TEST(reply_is_kept_until_its_expiry);
    CPPUNIT_TEST(responses_above_the_limit_become_failures);
    CPPUNIT_TEST(replies_of_one_daemon_are_removed);
    CPPUNIT_TEST_SUITE_END();

public:
    void reply_is_kept_until_its_expiry()
    {
        this->replies.add("d", response(1, 100), start + 1s);
        this->replies.expire(start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, this->replies.find("d", 1)->body.size());
        CPPUNIT_ASSERT(this->replies.find("d", 2) == nullptr);
        CPPUNIT_ASSERT(this->replies.find("e", 1) == nullptr);
        this->replies.expire(start + 2s);
        CPPUNIT_ASSERT(this->replies.find("d", 1) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->replies.bytes());
    }

    void responses_above_the_limit_become_failures()
    {
        constexpr std::uint64_t count = 100;
        for (std::uint64_t id = 1; id <= count; ++id)
        {
            this->replies.add("d", response(id, limit / 4), start + id * 1s);
            CPPUNIT_ASSERT(this->replies.bytes() <= limit);
        }
        const reply_message* dropped = this->replies.find("d", 1);
        CPPUNIT_ASSERT(static_cast<reply_kind>(dropped->kind) == reply_kind::failed);
        CPPUNIT_ASSERT_EQUAL(std::string{call_reason::response_dropped}, dropped->reason);
        CPPUNIT_ASSERT(dropped->body.empty());
        CPPUNIT_ASSERT(dropped->body.capacity() < limit / 4); // Its memory is free.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, dropped->id);
        CPPUNIT_ASSERT(static_cast<reply_kind>(this->replies.find("d", count)->kind) == reply_kind::response);
    }

    void replies_of_one_daemon_are_removed()
    {
        this->replies.add("d", response(1, 10), start);
        this->replies.add("e", response(1, 20), start);
        this->replies.remove_all("d");
        CPPUNIT_ASSERT(this->replies.find("d", 1) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, this->replies.bytes());
    }

private:
    static constexpr std::size_t limit = 1000;
    static constexpr core::time_point start{1h};

    static reply_message response(std::uint64_t id, std::size_t bytes)
    {
        return {.id = id,
                .kind = static_cast<std::uint8_t>(reply_kind::response),
                .status = 200,
                .body = std::string(bytes, 'a')};
    }

    retained_replies replies{limit};
};
CPPUNIT_TEST_SUITE_REGISTRATION(retained_replies_test);

} // namespace laburnumreach::sidecar
