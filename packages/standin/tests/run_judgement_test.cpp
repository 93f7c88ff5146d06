#include "laburnumreach/standin/run_judgement.hpp"

#include "laburnumreach/standin/checked_answer.hpp"
#include "laburnumreach/standin/load_report.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace laburnumreach::standin
{

/// Guards against a load tool that calls a run clean although something was lost, doubled or misreported.
class run_judgement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(run_judgement_test);
    CPPUNIT_TEST(only_the_whole_answer_counts);
    CPPUNIT_TEST(refusals_keep_their_reason);
    CPPUNIT_TEST(each_violation_is_found);
    CPPUNIT_TEST(report_counts);
    CPPUNIT_TEST_SUITE_END();

public:
    void only_the_whole_answer_counts()
    {
        const std::string good = write_answer({.service = "s", .instance = "i", .request_id = "r"},
                                              check_value("n1", "body"), 500);
        std::string other_padding = good;
        other_padding[good.find("padding\":\"") + 20] ^= 1;
        struct answer_case
        {
            std::string name;
            int status;
            std::string text;
            std::vector<std::string> nonces;
            load_attempt::ending ended;
        };
        using ending = load_attempt::ending;
        const std::vector<answer_case> cases{
            {"whole", 200, good, {"n1"}, ending::whole},
            {"recorded answer to an earlier attempt", 200, good, {"n0", "n1"}, ending::whole},
            {"answer to another request", 200, good, {"n2"}, ending::damaged},
            {"cut", 200, good.substr(0, good.size() - 1), {"n1"}, ending::damaged},
            {"changed", 200, other_padding, {"n1"}, ending::damaged},
            {"empty", 200, "", {"n1"}, ending::damaged},
            {"refused", 503, good, {"n1"}, ending::refused},
        };
        for (const answer_case& each : cases)
        {
            httplib::Response response;
            response.status = each.status;
            response.body = each.text;
            load_attempt attempt;
            judge_answer(attempt, local_client::failure::none, response, each.nonces, "body");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, std::string{to_string(each.ended)},
                                         std::string{to_string(attempt.ended)});
        }
    }

    void refusals_keep_their_reason()
    {
        httplib::Response response;
        response.status = 503;
        response.headers = {
            {"Laburnum-Verdict", "not_run"}, {"Laburnum-Reason", "overloaded"}, {"Retry-After", "2"}};
        load_attempt attempt;
        judge_answer(attempt, local_client::failure::none, response, {}, "");
        CPPUNIT_ASSERT_EQUAL(std::string{"overloaded"}, attempt.reason);
        CPPUNIT_ASSERT(attempt.retry_after == std::chrono::seconds{2});
        response.body = R"({"verdict":"not_run","retry_after_ms":150})";
        judge_answer(attempt, local_client::failure::none, response, {}, "");
        CPPUNIT_ASSERT(attempt.retry_after == std::chrono::milliseconds{150});
    }

    void each_violation_is_found()
    {
        struct record_case
        {
            std::string name;
            std::string verdict; ///< Of the only attempt.
            nlohmann::json change;
            std::size_t run_judgement::*counted; ///< Null for a clean run.
        };
        const nlohmann::json twice = {{"key", "k1"}, {"tenant", "serra"}, {"path", "/p"}, {"started", 2}};
        const nlohmann::json once = {{"key", "k1"}, {"tenant", "serra"}, {"path", "/p"}, {"started", 1}};
        const nlohmann::json nonce = {{"nonce", "n1"}, {"tenant", "serra"}, {"started", 1}, {"work_ms", 5.0}};
        const nlohmann::json inner = {{"nonce", "n1/0"}, {"tenant", "serra"}, {"started", 1}};
        const nlohmann::json wrong = {{"nonce", "n1"}, {"tenant", "vale"}, {"started", 1}};
        const nlohmann::json unstarted = {{"nonce", "n1"}, {"tenant", "serra"}, {"started", 0}};
        const nlohmann::json id = {{"request_id", "r1"}, {"started", 1}};
        const std::vector<record_case> cases{
            {"ran once", "ran", {{"nonces", {nonce}}, {"idempotency_keys", {once}}}, nullptr},
            {"received but not started", "not_run", {{"nonces", {unstarted}}}, nullptr},
            {"ran twice", "ran", {{"idempotency_keys", {twice}}}, &run_judgement::duplicates_run},
            {"not_run by nonce", "not_run", {{"nonces", {nonce}}}, &run_judgement::wrong_verdicts},
            {"not_run but deeper", "not_run", {{"nonces", {inner}}}, &run_judgement::wrong_verdicts},
            {"not_run by id", "not_run", {{"requests", {id}}}, &run_judgement::wrong_verdicts},
            {"not_run by key", "not_run", {{"idempotency_keys", {once}}}, &run_judgement::wrong_verdicts},
            {"other tenant", "ran", {{"nonces", {wrong}}}, &run_judgement::wrong_tenants},
            {"key seen", "ran", {{"forbidden", {{{"where", "body"}}}}}, &run_judgement::keys_seen},
            {"no record", "ran", nullptr, &run_judgement::records_missing},
        };
        for (const record_case& each : cases)
        {
            nlohmann::json record{{"service", "s"},
                                  {"nonces", nlohmann::json::array()},
                                  {"requests", nlohmann::json::array()},
                                  {"idempotency_keys", nlohmann::json::array()},
                                  {"forbidden", nlohmann::json::array()}};
            std::optional<std::string> text;
            if (!each.change.is_null())
            {
                record.update(each.change);
                text = record.dump();
            }
            const std::vector<load_attempt> attempts{
                this->attempt(0, load_attempt::ending::whole, each.verdict)};
            const std::vector<std::optional<std::string>> records{text};
            const run_judgement judged = judge_run(this->scenario, attempts, records);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.counted == nullptr, judged.clean());
            if (each.counted != nullptr)
            {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, std::size_t{1}, judged.*each.counted);
            }
        }
    }

    void report_counts()
    {
        std::vector<load_attempt> attempts;
        for (std::size_t number = 0; number < 100; ++number)
        {
            attempts.push_back(this->attempt(number, load_attempt::ending::whole, "ran"));
            attempts.back().done = std::chrono::milliseconds{number + 1};
        }
        attempts.push_back(this->attempt(100, load_attempt::ending::refused, "not_run"));
        attempts.back().reason = "overloaded";
        attempts.push_back(this->attempt(101, load_attempt::ending::whole, "ran"));
        attempts.back().duplicate = true;
        const load_report report{this->scenario, attempts, {}};
        const load_report::group& all = report.groups().front();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{101}, all.requests);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, all.whole);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, all.reasons.at("overloaded"));
        CPPUNIT_ASSERT(all.quantile(0.5) == std::chrono::milliseconds{50});
        CPPUNIT_ASSERT(all.quantile(0.99) == std::chrono::milliseconds{99});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{99}, report.series().front().whole);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, report.series().at(1).whole);
        CPPUNIT_ASSERT(nlohmann::json::accept(report.to_json()));
    }

private:
    static load_attempt attempt(std::size_t number, load_attempt::ending ended, const std::string& verdict)
    {
        load_attempt made;
        made.request = number;
        made.nonce = "n1";
        made.idempotency_key = "k1";
        made.request_id = "r1";
        made.ended = ended;
        made.verdict = verdict;
        return made;
    }

    const load_scenario scenario{
        .daemons = {},
        .upstreams = {},
        .phases = {{.name = "only", .duration = std::chrono::seconds{1}}},
        .tenants = {{.name = "serra", .key = "key", .surges = {}}},
        .kinds = {{.name = "page", .service = "tally", .method = "GET", .path = "/p", .priority = "normal"}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(run_judgement_test);

} // namespace laburnumreach::standin
