#include "laburnumreach/ctl/fleet_status.hpp"
#include "laburnumreach/ctl/reason_guide.hpp"
#include "laburnumreach/platform/memory_object_store.hpp"
#include "laburnumreach/platform/zone_record.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace laburnumreach::ctl
{

/// Guards against a status that hides a damaged record or a silent daemon, and a reason without advice.
class fleet_status_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_status_test);
    CPPUNIT_TEST(zones_are_listed_with_damaged_ones);
    CPPUNIT_TEST(daemons_are_listed_with_silent_ones);
    CPPUNIT_TEST(every_reason_has_its_own_meaning);
    CPPUNIT_TEST(a_request_is_explained_by_its_daemon);
    CPPUNIT_TEST_SUITE_END();

public:
    void zones_are_listed_with_damaged_ones()
    {
        platform::memory_object_store store;
        const platform::zone_record record{.holder = "vm-a1",
                                           .incarnation = 1,
                                           .epoch = 4,
                                           .successor = "",
                                           .members = {"127.0.0.1:7003"},
                                           .operation_id = "op"};
        CPPUNIT_ASSERT(store.put_if("zone/a", std::nullopt, encode(record)) &&
                       store.put_if("zone/b", std::nullopt, "{"));
        report shown;
        add_zones(shown, store.list("zone/"));
        CPPUNIT_ASSERT(shown.text.find("a     vm-a1") != std::string::npos);
        CPPUNIT_ASSERT(shown.text.find("b     damaged: ") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(4, shown.json["zones"][0]["epoch"].get<int>());
        store.set_outage(true);
        report failed;
        add_zones(failed, store.list("zone/"));
        CPPUNIT_ASSERT(failed.code == exit_code::unreachable);
    }

    void daemons_are_listed_with_silent_ones()
    {
        const std::vector<config::endpoint> daemons{
            {"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}, {"127.0.0.1", 4}};
        const auto fetch = [](const config::endpoint& daemon, const std::string&) -> core::result<std::string>
        {
            switch (daemon.port)
            {
            case 1:
                return R"({"id":"vm-a1","revision":3,"members":[1,2]})";
            case 2:
                return R"({"revision":4,"id":"vm-a2","draining":true})";
            case 3:
                return "not json";
            default:
                return core::make_error(core::error_code::unavailable, "no answer");
            }
        };
        report shown;
        add_daemons(shown, daemons, fetch);
        CPPUNIT_ASSERT_EQUAL(std::string{"ADMIN        id     revision  draining\n"
                                         "127.0.0.1:1  vm-a1  3\n"
                                         "127.0.0.1:2  vm-a2  4         true\n"},
                             shown.text.substr(0, shown.text.find("127.0.0.1:3")));
        CPPUNIT_ASSERT(shown.text.find("127.0.0.1:4  error: no answer") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, shown.json["daemons"].size());
    }

    void every_reason_has_its_own_meaning()
    {
        std::set<std::string_view> meanings;
        for (const core::reason why : core::all_reasons())
        {
            const reason_guide& guide = guide_for(why);
            CPPUNIT_ASSERT(!guide.meaning.empty() && !guide.advice.empty());
            CPPUNIT_ASSERT_MESSAGE(std::string{guide.meaning}, meanings.insert(guide.meaning).second);
        }
    }

    void a_request_is_explained_by_its_daemon()
    {
        std::string asked;
        const auto fetch = [&](const config::endpoint&, const std::string& path) -> core::result<std::string>
        {
            asked = path;
            return R"({"request_id":"r&1","reason":"queue_full"})";
        };
        CPPUNIT_ASSERT(explain("overloaded", std::nullopt, fetch).text.find("503") != std::string::npos);
        CPPUNIT_ASSERT(asked.empty());
        CPPUNIT_ASSERT(explain("r&1", std::nullopt, fetch).code == exit_code::usage);
        const report shown = explain("r&1", config::endpoint{"127.0.0.1", 1}, fetch);
        CPPUNIT_ASSERT_EQUAL(std::string{"/explain?request_id=r%261"}, asked);
        CPPUNIT_ASSERT(shown.text.find("queue of the instance is full") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_status_test);

} // namespace laburnumreach::ctl
