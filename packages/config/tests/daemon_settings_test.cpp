#include "laburnumreach/config/config_document.hpp"
#include "laburnumreach/config/daemon_settings_toml.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>

namespace laburnumreach::config
{

namespace
{

constexpr std::string_view sample_settings = R"([daemon]
id = "vm-a1"
zone = "a"
region = "south"
fleet_secret = "0123456789abcdef"
[listen]
address = "127.0.0.1"
callers = 7001
peers = 7002
control = 7003
local = 7004
admin = 7005
[platform]
endpoint = "127.0.0.1:7100"
[membership]
seeds = ["127.0.0.1:7013", "[::1]:7013"]
[limits]
workers = 64
[log]
level = "warning"
)";

struct invalid_setting
{
    std::string_view from;
    std::string_view to;
    std::size_t line;
    std::string_view reason;
};

const std::vector<invalid_setting> invalid_settings{
    {R"(id = "vm-a1")", "", 1, "'id' is missing"},
    {R"(zone = "a")", R"(zone = "a b")", 3, "letters, digits"},
    {R"("0123456789abcdef")", R"("0123456789abcde")", 5, "16 to"},
    {"fleet_secret = ", "secret = ", 1, "exactly one of"},
    {"[listen]", "fleet_secret_file = \"f\"\n[listen]", 5, "exactly one of"},
    {"fleet_secret = \"0123456789abcdef\"", "fleet_secret_file = \"no-such-file\"", 5, "cannot be read"},
    {R"(address = "127.0.0.1")", R"(address = "localhost")", 7, "IP address"},
    {"callers = 7001", "callers = 0", 8, "from 1 to 65535"},
    {"callers = 7001", "callers = 65536", 8, "from 1 to 65535"},
    {"peers = 7002", "peers = 7001", 9, "same port as 'callers'"},
    {"127.0.0.1:7100", "platform:7100", 14, "IP address and a port"},
    {"127.0.0.1:7100", "127.0.0.1", 14, "IP address and a port"},
    {"127.0.0.1:7100\"", "127.0.0.1:7100\"\nrequest_timeout_ms = 0", 15, "from 1 to"},
    {"[::1]:7013", "::1:7013", 16, "a seed must be"},
    {"workers = 64", "workers = -1", 18, "from 1 to"},
    {"workers = 64", "worker = 64", 18, "unknown name 'worker'"},
    {"workers = 64", "body_budget_bytes = 1000", 18, "less than 'max_body_bytes'"},
    {"warning", "loud", 20, "debug, info, warning or error"},
    {"[log]", "[logs]", 19, "unknown name 'logs'"},
};

std::string with_replacement(std::string_view from, std::string_view to)
{
    std::string text{sample_settings};
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

/// Guards against a daemon that starts with settings other than its operator intended, and against a
/// corrupted configuration document that is accepted as valid.
class daemon_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(daemon_settings_test);
    CPPUNIT_TEST(valid_settings_are_read);
    CPPUNIT_TEST(each_error_is_reported_at_its_line);
    CPPUNIT_TEST(port_of_a_wrong_type_is_no_duplicate);
    CPPUNIT_TEST(secret_file_is_read_without_its_line_feed);
    CPPUNIT_TEST(documents_round_trip);
    CPPUNIT_TEST(invalid_documents_are_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void valid_settings_are_read()
    {
        const auto settings = parse_daemon_settings(sample_settings, ".");
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"vm-a1"}, settings->id);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{7005}, settings->listen.admin);
        CPPUNIT_ASSERT_EQUAL(std::string{"[::1]:7013"}, to_string(settings->seeds.at(1)));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{64}, settings->limits.workers);
        CPPUNIT_ASSERT(settings->level == log_level::warning);
    }

    void each_error_is_reported_at_its_line()
    {
        for (const invalid_setting& row : invalid_settings)
        {
            const auto settings = parse_daemon_settings(with_replacement(row.from, row.to), ".");
            CPPUNIT_ASSERT_MESSAGE(std::string{row.to}, !settings);
            const std::string report = to_string(settings.error());
            const parse_error& found = settings.error().front();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(report, row.line, found.line);
            CPPUNIT_ASSERT_MESSAGE(report, found.reason.find(row.reason) != std::string::npos);
        }
    }

    void port_of_a_wrong_type_is_no_duplicate()
    {
        for (const std::string_view text : {"callers = \"x\"\npeers = 0.5", "callers = true\npeers = 1"})
        {
            const auto settings =
                parse_daemon_settings(with_replacement("callers = 7001\npeers = 7002", text), ".");
            CPPUNIT_ASSERT(!settings);
            for (const parse_error& found : settings.error())
            {
                CPPUNIT_ASSERT_MESSAGE(found.reason, found.reason.find("same port") == std::string::npos);
            }
        }
    }

    void secret_file_is_read_without_its_line_feed()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "settings-XXXXXX").string();
        CPPUNIT_ASSERT(::mkdtemp(pattern.data()) != nullptr);
        const std::filesystem::path directory{pattern};
        std::ofstream{directory / "secret"} << "0123456789abcdef\n";
        const auto settings = parse_daemon_settings(
            with_replacement("fleet_secret = \"0123456789abcdef\"", "fleet_secret_file = \"secret\""),
            directory);
        std::filesystem::remove_all(directory);
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"0123456789abcdef"}, settings->fleet_secret);
    }

    void documents_round_trip()
    {
        const config_document document{
            .revision = 9, .operation_id = "op", .text = "zones = [\"\xc3\xa9\"]\n"};
        CPPUNIT_ASSERT(*decode_config_document(*encode(document)) == document);
        CPPUNIT_ASSERT(!encode({.revision = 0, .operation_id = "op", .text = ""}));
        CPPUNIT_ASSERT(!encode({.revision = 1, .operation_id = "", .text = ""}));
        CPPUNIT_ASSERT(!encode({.revision = 1, .operation_id = "op", .text = "\xff"}));
        CPPUNIT_ASSERT(
            encode({.revision = 1, .operation_id = "op", .text = std::string(1'000'000, 'x')}).error().code ==
            core::error_code::too_large);
    }

    void invalid_documents_are_rejected()
    {
        for (const std::string_view value :
             {"", "{}", "[]", "7", R"({"revision":0,"operation_id":"o","text":""})",
              R"({"revision":-1,"operation_id":"o","text":""})",
              R"({"revision":1.5,"operation_id":"o","text":""})",
              R"({"revision":1,"operation_id":"","text":""})", R"({"revision":1,"operation_id":"o"})",
              R"({"revision":1,"operation_id":"o","text":7})",
              R"({"revision":1,"operation_id":"o","text":"")"})
        {
            CPPUNIT_ASSERT_MESSAGE(std::string{value}, !decode_config_document(value));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_settings_test);

} // namespace laburnumreach::config
