#include "fake_store.hpp"
#include "laburnumreach/idempotency/claim_committer.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <sstream>

namespace laburnumreach::idempotency
{

namespace
{

using namespace std::chrono_literals;

/// Drives one committer through the steps of a fault case and writes down its answers.
///
/// Steps: "A?" claim request of daemon A, "A!" its completion, "A-" its release; "other:A" a claim of A that
/// another committer writes; "gone:A" the process of A ends; "ok" answers the pending store call, "all" also
/// those that follow; "lost" makes the call take effect and loses the answer; "late" loses the answer and
/// keeps the write back until "land"; "down" has the store refuse the call; "restart" replaces the committer;
/// "1500ms" passes time. Lower case letters use a second key of the same slot. An answer is the daemon with
/// its outcome, and "?" after it when the claim may be recorded in spite of the refusal.
class committer_script
{
public:
    std::string run(const std::string& steps)
    {
        this->start();
        std::istringstream input{steps};
        for (std::string step; input >> step;)
        {
            this->run_step(step);
        }
        return this->answers;
    }

private:
    void start()
    {
        this->committer.emplace(claim_committer_options{.max_records = 1},
                                process_id{.incarnation = 1, .daemon = "self"},
                                [this](const process_id& owner) { return owner.daemon != this->gone; });
    }

    void run_step(const std::string& step)
    {
        const std::string name = step.substr(step.find(':') + 1);
        if (step == "ok" || step == "down" || step == "lost" || step == "late")
        {
            this->answer_call(step);
        }
        else if (step == "all")
        {
            for (int rounds = 0; rounds < 20; ++rounds)
            {
                this->pass(100ms);
                if (!this->calls.empty())
                {
                    this->answer_call("ok");
                }
            }
        }
        else if (step == "restart")
        {
            this->start();
        }
        else if (step == "land")
        {
            this->store.apply(this->late_write);
        }
        else if (step.starts_with("gone:"))
        {
            this->gone = name;
        }
        else if (step.starts_with("other:"))
        {
            claim_committer other{
                {}, {.incarnation = 2, .daemon = "other"}, [](const process_id&) { return true; }};
            claim_outbox out = other.receive(this->now, this->request(name));
            out = other.complete(this->now, this->store.apply(out.calls.front()));
            this->store.apply(out.calls.front());
        }
        else if (step.ends_with("ms"))
        {
            this->pass(std::chrono::milliseconds{std::stoi(step)});
        }
        else if (step.ends_with("?"))
        {
            this->collect(this->committer->receive(this->now, this->request(step.substr(0, 1))));
        }
        else
        {
            const claim_request asked = this->request(step.substr(0, 1));
            this->collect(this->committer->receive(
                this->now, claim_update{.key = asked.key,
                                        .token = asked.token,
                                        .kind = step.ends_with("!") ? claim_update_kind::finished
                                                                    : claim_update_kind::released}));
        }
    }

    claim_request request(const std::string& daemon) const
    {
        claim_key key;
        key.digest.back() = daemon >= "a" ? 1 : 0;
        return {.key = key, .token = {.owner = {.incarnation = 7, .daemon = daemon}, .sequence = 1}};
    }

    void answer_call(const std::string& how)
    {
        const store_call call = this->calls.at(0);
        this->calls.erase(this->calls.begin());
        store_result result{.id = call.id, .status = store_status::unavailable};
        if (how == "late")
        {
            this->late_write = call;
        }
        else if (how != "down")
        {
            result = this->store.apply(call);
        }
        if (how == "late" || how == "lost")
        {
            result.status = store_status::outcome_unknown;
        }
        this->collect(this->committer->complete(this->now, result));
    }

    void pass(core::duration time)
    {
        for (const core::time_point end = this->now + time; this->now < end;)
        {
            this->now += 50ms;
            this->collect(this->committer->tick(this->now));
        }
    }

    void collect(const claim_outbox& out)
    {
        this->calls.insert(this->calls.end(), out.calls.begin(), out.calls.end());
        for (const outgoing_claim_message& sent : out.messages)
        {
            this->answers += (this->answers.empty() ? "" : " ") + sent.daemon + "=";
            if (const auto* response = std::get_if<claim_response>(&sent.message))
            {
                const core::verdict refused = response->outcome == claim_outcome::granted
                                                  ? core::verdict{}
                                                  : to_verdict(response->outcome);
                this->answers += refused.completed() ? "granted" : core::to_string(refused.why);
                const bool open = refused.result == core::outcome::not_run && response->may_be_recorded;
                this->answers += open ? "?" : "";
            }
            else
            {
                this->answers += "done";
            }
        }
    }

    fake_store store;
    std::string gone;
    std::optional<claim_committer> committer;
    core::time_point now{1h};
    std::vector<store_call> calls;
    store_call late_write;
    std::string answers;
};

struct fault_case
{
    const char* guards_against;
    const char* steps;
    const char* answers;
};

constexpr fault_case fault_cases[] = {
    {"a grant without a write", "A? ok", ""},
    {"a lost grant that cannot be repeated", "A? all A? all", "A=granted A=granted"},
    {"two grants in one write", "A? B? all", "A=granted B=duplicate_in_progress"},
    {"a finished claim taken for a free one", "A? all A! all B? all",
     "A=granted A=done B=duplicate_finished"},
    {"the first attempt granted after its retry", "B? all A? all", "B=granted A=duplicate_in_progress"},
    {"a crashed owner taken for a running one", "A? all gone:A B? all",
     "A=granted B=duplicate_outcome_unknown"},
    {"a lost write answer taken for a failure", "A? ok lost all", "A=granted"},
    {"a write that lands after its repetition", "A? ok late all land B? all",
     "A=granted B=duplicate_in_progress"},
    {"a key freed while a late write may yet claim it", "A? ok late 1000ms A- all land B? all",
     "A=claim_store_unavailable? A=done B=granted"},
    {"a release told before a late write is settled", "A? ok late 50ms ok A- all land C? all",
     "A=granted A=done C=granted"},
    {"a key left claimed by a refused attempt", "A? ok lost 1000ms A- all B? all",
     "A=claim_store_unavailable? A=done B=granted"},
    {"a free key while its refused attempt may hold it", "A? ok lost 1000ms B? all",
     "A=claim_store_unavailable? B=duplicate_in_progress"},
    {"a write in flight taken for none", "A? ok 1000ms", "A=claim_store_unavailable?"},
    {"a release told for nothing after a refused write", "A? ok down 100ms down 200ms down 400ms down 300ms",
     "A=claim_store_unavailable"},
    {"a wait without bound", "A? down 1000ms B? 1000ms",
     "A=claim_store_unavailable B=claim_store_unavailable"},
    {"a key freed before the release is written", "A? ok ok A- B? all C? all",
     "A=granted B=duplicate_in_progress A=done C=granted"},
    {"a released attempt granted again", "A? all A- all A? all",
     "A=granted A=done A=claim_store_unavailable"},
    {"a released attempt granted by another committer", "A? all A- all restart A? all",
     "A=granted A=done A=claim_store_unavailable"},
    {"a finished claim freed by a late release", "A? all A! all A- all B? all",
     "A=granted A=done A=done B=duplicate_finished"},
    {"a run forgotten after a wrong release", "A? all A- all A! all B? all",
     "A=granted A=done A=done B=duplicate_finished"},
    {"a foreign write overwritten", "C- all other:B A? all", "C=done A=duplicate_in_progress"},
    {"a foreign claim missed by its release", "C- all other:A A- all B? all", "C=done A=done B=granted"},
    {"a foreign claim missed by its completion", "C- all other:A A! all B? all",
     "C=done A=done B=duplicate_finished"},
    {"a record above the bound", "A? all b? all A? all", "A=granted b=claim_table_full A=granted"},
};

} // namespace

class committer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(committer_test);
    CPPUNIT_TEST(fault_cases_give_the_stated_answers);
    CPPUNIT_TEST(writes_are_batched_and_paced);
    CPPUNIT_TEST_SUITE_END();

public:
    void fault_cases_give_the_stated_answers()
    {
        for (const fault_case& tested : fault_cases)
        {
            committer_script script;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(tested.guards_against, std::string{tested.answers},
                                         script.run(tested.steps));
        }
    }

    /// Guards against a platform load that grows with the number of claims.
    void writes_are_batched_and_paced()
    {
        fake_store store;
        claim_committer committer{
            {}, {.incarnation = 1, .daemon = "self"}, [](const process_id&) { return true; }};
        core::time_point now{1h};
        for (std::uint64_t sequence = 1; sequence <= 5000; ++sequence)
        {
            now += 1ms;
            claim_key key;
            key.digest[1] = static_cast<std::uint8_t>(sequence >> 8U);
            key.digest[2] = static_cast<std::uint8_t>(sequence);
            claim_outbox out = committer.receive(
                now, claim_request{.key = key, .token = {.owner = {.daemon = "A"}, .sequence = sequence}});
            for (const claim_outbox ticked = committer.tick(now); const store_call& call : ticked.calls)
            {
                out.calls.push_back(call);
            }
            while (!out.calls.empty())
            {
                out = committer.complete(now, store.apply(out.calls.front()));
            }
        }
        CPPUNIT_ASSERT(committer.counters().writes >= 49 && committer.counters().writes <= 51);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, committer.counters().reads);
        CPPUNIT_ASSERT(committer.counters().granted >= 4900);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(committer_test);

} // namespace laburnumreach::idempotency
