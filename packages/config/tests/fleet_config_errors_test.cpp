#include "laburnumreach/config/fleet_config_toml.hpp"
#include "sample_configuration.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

namespace laburnumreach::config
{

namespace
{

/// A change of the sample text and the only error that it must cause.
struct invalid_change
{
    std::string_view from;
    std::string_view to;
    std::size_t line;
    std::string_view reason; ///< Part of the reason.
};

constexpr std::string_view digest = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae";

const std::vector<invalid_change> invalid_changes{
    {R"(zones = ["a", "b", "c"])", "", 1, "at least one zone"},
    {R"(zones = ["a", "b", "c"])", "zones = []", 1, "at least one zone"},
    {R"(zones = ["a", "b", "c"])", R"(zones = ["a", "b", "a"])", 1, "'a' is repeated"},
    {R"(zones = ["a", "b", "c"])", R"(zones = ["a", 3])", 1, "only strings"},
    {R"(zones = ["a", "b", "c"])", R"(zones = ["a", "b c"])", 1, "letters, digits"},
    {R"(zones = ["a", "b", "c"])", "zones = [", 2, "syntax"},
    {R"(["tally-3"])", R"(["tally-3", "tally-3"])", 2, "'tally-3' is repeated"},
    {"drained_instances", "drained_instance", 2, "unknown name 'drained_instance'"},
    {R"(name = "sheets")", "name = \"sheets\"\ndepends_on = [\"sheet\"]", 10, "unknown service 'sheet'"},
    {R"(["sheets"])", R"(["sheets", "tally"])", 6, "dependency cycle: tally -> tally"},
    {R"(name = "sheets")", "name = \"sheets\"\ndepends_on = [\"tally\"]", 10,
     "dependency cycle: tally -> sheets -> tally"},
    {R"(name = "sheets")", "name = \"sheets\"\n[[service]]\nname = \"sheets\"", 11, "'sheets' is repeated"},
    {R"(name = "sheets")", "name = \"sheets\"\ncolour = 1", 10, "unknown name 'colour'"},
    {R"(service = "tally")", R"(service = "tolly")", 12, "unknown service 'tolly'"},
    {R"(service = "tally")", R"(service = 7)", 12, "must be a string"},
    {R"(name = "page")", "", 11, "'name' is missing"},
    {R"(name = "page")", R"(name = "rest")", 35, "route 'rest' of service 'tally' is repeated"},
    {R"("GET")", R"("get")", 14, "'method' must be"},
    {R"(path = "/pages/")", R"(path = "pages/")", 15, "must start with '/'"},
    {R"(path = "/pages/")", R"(path = "/pages?x")", 15, "visible ASCII"},
    {R"(priority = "normal")", R"(priority = "urgent")", 16, "'priority' must be"},
    {"idempotent = true", "idempotent = 1", 17, "true or false"},
    {"tenants = []", R"(tenants = ["serra"])", 19, "open route must not list tenants"},
    {R"(tenants = ["serra"])", R"(tenants = ["sierra"])", 31, "unknown tenant 'sierra'"},
    {"timeout_ms = 2000", "timeout_ms = 0", 20, "from 1 to 600000"},
    {"timeout_ms = 2000", "timeout_ms = 600001", 20, "from 1 to 600000"},
    {"attempts = 3", "attempts = 0", 21, "from 1 to 10"},
    {"attempts = 3", "attempts = 11", 21, "from 1 to 10"},
    {"max_body_bytes = 1048576", "max_body_bytes = -1", 22, "'max_body_bytes' must be"},
    {R"(calls = ["sheets"])", R"(calls = ["sheets", "sheets"])", 23, "'sheets' is repeated"},
    {R"(calls = ["sheets"])", R"(calls = ["tally"])", 23, "not in depends_on"},
    {R"(calls = ["sheets"])", R"(calls = ["none"])", 23, "unknown service 'none'"},
    {R"(path = "/")", "path = \"/pages/\"\nmethod = \"GET\"", 36,
     "same service, method and path as route 'page'"},
    {"rate = 100.0", "rate = 0", 42, "'rate' must be a finite number greater than 0"},
    {"rate = 100.0", "rate = -1.0", 42, "'rate' must be"},
    {"rate = 100.0", "rate = nan", 42, "'rate' must be"},
    {"rate = 100.0", "rate = inf", 42, "'rate' must be"},
    {"burst = 200.0", "burst = 0.5", 43, "not less than 1"},
    {"burst = 200.0", "burst = inf", 43, "'burst' must be"},
    {"weight = 1.5", "weight = 0.0", 44, "'weight' must be"},
    {"weight = 1.5", "weight = nan", 44, "'weight' must be"},
    {R"(id = "2026-08")", R"(id = "")", 47, "letters, digits"},
    {"2c26b46b68ff", "2c26b46b68f", 48, "64 hex digits"},
    {"2c26b46b68ff", "2c26b46b68fg", 48, "64 hex digits"},
    {digest, "0000000000000000000000000000000000000000000000000000000000000000", 48, "not all zero"},
    {R"(name = "monte")", R"(name = "serra")", 51, "tenant 'serra' is repeated"},
    {"burst = 40",
     "burst = 40\n[[tenant.key]]\nid = \"k\"\nsha256 = "
     "\"2C26B46B68FFC68FF99B453C1D30413413422D706483BFA0F98A5E886266E7AE\"",
     56, "already used by key '2026-08' of tenant 'serra'"},
    {"burst = 40", "", 50, "'burst' is missing"},
    {"\n[[tenant]]\nname = \"monte\"",
     "\n[[tenant.key]]\nid = \"2026-08\"\nsha256 = "
     "\"fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9\"\n[[tenant]]\nname = \"monte\"",
     51, "key id '2026-08' of tenant 'serra' is repeated"},
};

std::string with_change(const invalid_change& row)
{
    std::string text{sample_configuration};
    const std::size_t position = text.find(row.from);
    CPPUNIT_ASSERT_MESSAGE(std::string{row.from}, position != std::string::npos);
    return text.replace(position, row.from.size(), row.to);
}

} // namespace

/// Guards against an invalid fleet configuration that is accepted, and against an error report that does not
/// point to the mistake.
class fleet_config_errors_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_config_errors_test);
    CPPUNIT_TEST(each_error_is_reported_at_its_line);
    CPPUNIT_TEST(all_errors_are_reported);
    CPPUNIT_TEST(similar_entries_are_accepted);
    CPPUNIT_TEST(size_limits_are_enforced);
    CPPUNIT_TEST(routes_of_equal_lengths_differ);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_error_is_reported_at_its_line()
    {
        for (const invalid_change& row : invalid_changes)
        {
            const auto parsed = parse_fleet_config(with_change(row));
            CPPUNIT_ASSERT_MESSAGE(std::string{row.to}, !parsed);
            const std::string report = to_string(parsed.error());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(report, std::size_t{1}, parsed.error().size());
            const parse_error& found = parsed.error().front();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(report, row.line, found.line);
            CPPUNIT_ASSERT_MESSAGE(report, found.column > 0);
            CPPUNIT_ASSERT_MESSAGE(report, found.reason.find(row.reason) != std::string::npos);
        }
    }

    void all_errors_are_reported()
    {
        const auto parsed = parse_fleet_config("zones = [\"a\", \"a\"]\n[[tenant]]\nname = \"t\"\nrate = -1\n"
                                               "burst = 0\ncolour = 1\n");
        CPPUNIT_ASSERT(!parsed);
        std::vector<std::size_t> lines;
        for (const parse_error& error : parsed.error())
        {
            lines.push_back(error.line);
        }
        CPPUNIT_ASSERT(lines == (std::vector<std::size_t>{1, 4, 5, 6}));
    }

    /// Guards against distinct entries, with names and paths of equal length, that are rejected as repeated.
    void similar_entries_are_accepted()
    {
        std::ostringstream text;
        text << "zones = ['a', 'b']\n";
        for (int entry = 10; entry < 40; ++entry)
        {
            text << "[[service]]\nname = 's" << entry << "'\n[[tenant]]\nname = 't" << entry
                 << "'\nrate = 1\nburst = 1\n";
            for (const std::string_view method : {"GET", "PUT"})
            {
                text << "[[route]]\nservice = 's" << 10 + entry % 2 << "'\nname = '" << method << entry
                     << "'\nmethod = '" << method << "'\npath = '/p" << entry << "/'\n";
            }
        }
        const auto parsed = parse_fleet_config(text.str());
        CPPUNIT_ASSERT_MESSAGE(parsed ? "" : to_string(parsed.error()), parsed.has_value());
    }

    void size_limits_are_enforced()
    {
        CPPUNIT_ASSERT(!parse_fleet_config(std::string(fleet_limits::text_bytes + 1, '#')));
        std::string zones = "zones = [";
        for (std::size_t index = 0; index <= fleet_limits::zones; ++index)
        {
            zones += "\"z" + std::to_string(index) + "\",";
        }
        CPPUNIT_ASSERT(!parse_fleet_config(zones + "]"));
        CPPUNIT_ASSERT(!parse_fleet_config("zones = [\"" + std::string(65, 'a') + "\"]"));
    }

    /// Guards against a comparison of freed strings, which treated routes as equal when the lengths of their
    /// service, method and path were equal.
    void routes_of_equal_lengths_differ()
    {
        const auto parsed = parse_fleet_config(R"(zones = ["a"]
[[service]]
name = "sheets"
[[service]]
name = "routes"
[[route]]
service = "sheets"
name = "read"
method = "GET"
path = "/sheets/"
priority = "normal"
[[route]]
service = "routes"
name = "check"
method = "GET"
path = "/checks/"
priority = "normal"
)");
        CPPUNIT_ASSERT_MESSAGE(parsed ? "" : to_string(parsed.error()), parsed.has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_config_errors_test);

} // namespace laburnumreach::config
