#include "laburnumreach/config/sidecar_settings.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::config
{

using namespace std::chrono_literals;

namespace
{

const std::string complete_text = R"([daemon]
id = "vm-1"
zone = "a"
first_start = true
[upstream]
service = "s"
address = "10.0.0.1:8547"
drain_s = 2
[listen]
address = "10.0.0.1"
outbound = "10.0.0.1:8548"
ready = "10.0.0.1:8546"
control = "10.0.0.1:8540"
peer_port = 7000
metrics_port = 7015
[store]
address = "10.0.0.9:8545"
[limits]
stop_grace_s = 6
retry_ratio = 0.2
retry_slack = 47
retry_window_s = 10
body_memory_mb = 64
)";

} // namespace

/// Guards against a sidecar that starts with settings other than those in its file.
class sidecar_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sidecar_settings_test);
    CPPUNIT_TEST(complete_settings_are_read);
    CPPUNIT_TEST(every_error_is_reported);
    CPPUNIT_TEST(announced_address_is_an_ip_address);
    CPPUNIT_TEST(memory_for_messages_follows_the_memory_of_the_vm);
    CPPUNIT_TEST(descriptors_are_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void complete_settings_are_read()
    {
        const auto settings = parse_sidecar_settings(complete_text);
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT(settings->first_start);
        CPPUNIT_ASSERT((settings->upstream == endpoint{"10.0.0.1", 8547}));
        CPPUNIT_ASSERT((settings->peers == endpoint{"10.0.0.1", 7000}));
        CPPUNIT_ASSERT_EQUAL(std::string{"10.0.0.1"}, settings->announced_address);
        CPPUNIT_ASSERT(settings->drain_limit == 2s && settings->stop_grace == 6s);
        CPPUNIT_ASSERT_EQUAL(47.0, settings->retry_slack);
        CPPUNIT_ASSERT_EQUAL(std::size_t{64} * 1024 * 1024, settings->body_memory);
    }

    void announced_address_is_an_ip_address()
    {
        const std::string other{"peer_port = 7000\nannounced_address = "};
        std::string text{complete_text};
        const std::size_t position = text.find("peer_port = 7000\n");
        text.replace(position, std::string_view{"peer_port = 7000\n"}.size(), other + "\"10.9.9.9\"\n");
        const auto settings = parse_sidecar_settings(text);
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"10.9.9.9"}, settings->announced_address);
        text.replace(text.find("10.9.9.9"), 8, "vm-1.example");
        CPPUNIT_ASSERT(!parse_sidecar_settings(text));
    }

    void memory_for_messages_follows_the_memory_of_the_vm()
    {
        constexpr std::size_t mb = 1024 * 1024;
        std::string text{complete_text};
        text.erase(text.find("body_memory_mb"));
        CPPUNIT_ASSERT_EQUAL(48 * mb, parse_sidecar_settings(text)->body_memory);
        CPPUNIT_ASSERT_EQUAL(40 * mb, parse_sidecar_settings(text, {.memory_mb = 100})->body_memory);
        CPPUNIT_ASSERT_EQUAL(106 * mb, parse_sidecar_settings(text, {.memory_mb = 260})->body_memory);
        CPPUNIT_ASSERT_EQUAL(
            56 * mb, parse_sidecar_settings(text + "memory_mb = 160\n", {.memory_mb = 260})->body_memory);
        CPPUNIT_ASSERT_EQUAL(64 * mb, parse_sidecar_settings(complete_text, {.memory_mb = 260})->body_memory);
    }

    void descriptors_are_bounded()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, parse_sidecar_settings(complete_text)->max_descriptors);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{4100},
            parse_sidecar_settings(complete_text, {.max_descriptors = 4100})->max_descriptors);
        CPPUNIT_ASSERT(!parse_sidecar_settings(complete_text + "max_descriptors = 63\n"));
    }

    void every_error_is_reported()
    {
        const auto settings =
            parse_sidecar_settings("[daemon]\nid = 7\nzon = \"a\"\n[store]\naddress = \"x\"\n"
                                   "[limits]\nbody_memory_mb = 39\n");
        CPPUNIT_ASSERT(!settings);
        const std::string text = to_string(settings.error());
        for (const char* expected_part :
             {"'id'", "'zon'", "'zone'", "'address'", "'outbound'", "'service'", "'body_memory_mb'"})
        {
            CPPUNIT_ASSERT_MESSAGE(expected_part, text.find(expected_part) != std::string::npos);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_settings_test);

} // namespace laburnumreach::config
