#include "laburnumreach/daemon/announcement.hpp"
#include "laburnumreach/daemon/caller_key.hpp"
#include "laburnumreach/daemon/load_header.hpp"
#include "laburnumreach/daemon/log.hpp"
#include "laburnumreach/daemon/request_target.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::daemon
{

/// Guards against keys and forged paths that reach an upstream.
class request_checks_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_checks_test);
    CPPUNIT_TEST(keys_are_found_in_every_documented_place);
    CPPUNIT_TEST(two_different_keys_are_ambiguous);
    CPPUNIT_TEST(keys_leave_headers_and_query);
    CPPUNIT_TEST(encoded_keys_are_recognised);
    CPPUNIT_TEST(targets_are_split);
    CPPUNIT_TEST(targets_that_an_upstream_could_resolve_differently_are_refused);
    CPPUNIT_TEST(damaged_announcements_are_refused);
    CPPUNIT_TEST(damaged_hop_reports_are_refused);
    CPPUNIT_TEST(log_values_cannot_forge_fields);
    CPPUNIT_TEST_SUITE_END();

    const caller_key key{.text = "k-123+/="};

public:
    void keys_are_found_in_every_documented_place()
    {
        CPPUNIT_ASSERT_EQUAL(key.text, find_caller_key({{"Authorization", "Bearer k-123+/="}}, "/a/b")->text);
        CPPUNIT_ASSERT_EQUAL(key.text,
                             find_caller_key({{"authorization", "bearer  k-123+/="}}, "/a/b")->text);
        CPPUNIT_ASSERT_EQUAL(key.text, find_caller_key({{"X-Api-Key", "k-123+/="}}, "/a/b")->text);
        CPPUNIT_ASSERT_EQUAL(key.text, find_caller_key({}, "/a/b?x=1&api_key=k-123%2b%2F%3D")->text);
        CPPUNIT_ASSERT(find_caller_key({}, "/a/b").error() == core::reason::key_missing);
        CPPUNIT_ASSERT(find_caller_key({{"X-Api-Key", " "}}, "/a/b").error() == core::reason::key_missing);
    }

    void two_different_keys_are_ambiguous()
    {
        const http::headers both{{"Authorization", "Bearer one"}, {"X-Api-Key", "two"}};
        CPPUNIT_ASSERT(find_caller_key(both, "/a/b").error() == core::reason::ambiguous_key);
        const http::headers twice{{"X-Api-Key", "one"}, {"X-Api-Key", "two"}};
        CPPUNIT_ASSERT(find_caller_key(twice, "/a/b").error() == core::reason::ambiguous_key);
        const http::headers equal{{"Authorization", "Bearer one"}, {"X-Api-Key", "one"}};
        CPPUNIT_ASSERT(find_caller_key(equal, "/a/b?api_key=one").has_value());
    }

    void keys_leave_headers_and_query()
    {
        http::headers fields{{"Authorization", "Basic eDp5"},       {"X-Api-Key", "k-123+/="},
                             {"Cookie", "a=b; key=k-123%2B%2F%3D"}, {"X-Copy", "see k-123+/= there"},
                             {"laburnum-call", "forged"},           {"Accept", "text/html"}};
        std::string target = "/a/b?x=1&api_key=other&y=k-123+%2F=&z=2&api%5fkey=q";
        remove_caller_key(key, fields, target);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fields.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"text/html"}, fields.begin()->second);
        CPPUNIT_ASSERT_EQUAL(std::string{"/a/b?x=1&z=2"}, target);
    }

    void encoded_keys_are_recognised()
    {
        CPPUNIT_ASSERT(contains_key(key, "/path/k-123+/=/x"));
        CPPUNIT_ASSERT(contains_key(key, "/path/%6b-123%2B%2f%3d"));
        CPPUNIT_ASSERT(!contains_key(key, "/path/k-124+/="));
    }

    void targets_are_split()
    {
        const auto parts = split_target("/tally/pages/1?x=/..");
        CPPUNIT_ASSERT(parts->service == "tally" && parts->path == "/pages/1");
        CPPUNIT_ASSERT(parts->path_and_query == "/pages/1?x=/..");
        CPPUNIT_ASSERT(split_target("/tally")->path == "/");
        CPPUNIT_ASSERT(split_target("/tally?x=1")->service == "tally");
    }

    void targets_that_an_upstream_could_resolve_differently_are_refused()
    {
        for (const std::string_view target :
             {"/", "//x", "/tally/../admin", "/tally/a/./b", "/tally/%2e%2E/b", "/tally/a/.%2e",
              "/tally/a%2fb", "/tally/a%5Cb", "/tally/a\\b", "/tally/a%00b", "tally/x", ""})
        {
            CPPUNIT_ASSERT_MESSAGE(std::string{target}, !split_target(target));
        }
        CPPUNIT_ASSERT(split_target("/tally/a..b/...").has_value());
    }

    void damaged_announcements_are_refused()
    {
        const std::string valid =
            R"({"service":"s","instance":"i","address":"127.0.0.1","port":80,"slots":4,)"
            R"("zone":"a","state":"ready","load":0.5})";
        CPPUNIT_ASSERT(parse_announcement(valid).has_value());
        const std::pair<std::string, std::string> faults[] = {{"\"slots\":4", "\"slots\":0"},
                                                              {"\"slots\":4", "\"slots\":-1"},
                                                              {"\"port\":80", "\"port\":65536"},
                                                              {"\"port\":80", "\"port\":0"},
                                                              {"\"ready\"", "\"asleep\""},
                                                              {"127.0.0.1", "localhost"},
                                                              {"\"instance\":\"i\"", "\"instance\":\"\""},
                                                              {"\"slots\":4", "\"slots\":\"4\""},
                                                              {"\"zone\":\"a\",", ""},
                                                              {"}", ""}};
        for (const auto& [from, to] : faults)
        {
            std::string damaged = valid;
            damaged.replace(damaged.find(from), from.size(), to);
            CPPUNIT_ASSERT_MESSAGE(damaged, !parse_announcement(damaged));
        }
    }

    void damaged_hop_reports_are_refused()
    {
        const hop_report report{
            .load = {.own_level = 3, .dependency_level = 512, .queue_delay = std::chrono::milliseconds{7}},
            .unused_attempts = 2,
            .nested = std::chrono::microseconds{1500}};
        CPPUNIT_ASSERT(parse_hop_report(to_header_value(report)) == report);
        for (const std::string_view value :
             {"", "1 2 3 4", "1 2 3 4 5 6", "1 2 3 4 x", "513 0 0 0 0", "-1 0 0 0 0"})
        {
            CPPUNIT_ASSERT(!parse_hop_report(value));
        }
    }

    void log_values_cannot_forge_fields()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"plain"}, quote_log_value("plain"));
        CPPUNIT_ASSERT_EQUAL(std::string{"\"a\\\" level=E\""}, quote_log_value("a\" level=E"));
        CPPUNIT_ASSERT_EQUAL(std::string{"\"a?b\""}, quote_log_value("a\nb"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_checks_test);

} // namespace laburnumreach::daemon
