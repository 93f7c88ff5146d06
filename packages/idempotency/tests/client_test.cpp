#include "laburnumreach/idempotency/claim_client.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::idempotency
{

using namespace std::chrono_literals;

class client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_test);
    CPPUNIT_TEST(request_follows_the_routing);
    CPPUNIT_TEST(refusal_without_record_sends_no_release);
    CPPUNIT_TEST(late_grant_is_released_and_never_delivered);
    CPPUNIT_TEST(late_grant_of_a_run_is_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { this->route("vm-1"); }

    /// Guards against a claim that waits for a committer that has left.
    void request_follows_the_routing()
    {
        this->client.begin(this->now, {}, this->out);
        this->route("vm-2");
        this->client.tick(this->now + 200ms, this->out);
        CPPUNIT_ASSERT(this->out.messages.size() == 2 && this->out.messages.back().daemon == "vm-2");
        CPPUNIT_ASSERT(this->out.messages.front().message == this->out.messages.back().message);
    }

    /// Guards against a second message for each request while the store is down.
    void refusal_without_record_sends_no_release()
    {
        const std::uint64_t sequence = this->client.begin(this->now, {}, this->out);
        this->respond(sequence, claim_outcome::claim_store_unavailable, false);
        CPPUNIT_ASSERT(this->out.decisions.size() == 1 && this->client.unacknowledged() == 0);
    }

    /// Guards against a run after the caller was told not_run, and against a claim that stays because an
    /// acknowledgement from before the grant ended its release.
    void late_grant_is_released_and_never_delivered()
    {
        const std::uint64_t sequence = this->client.begin(this->now, {}, this->out);
        this->client.tick(this->now + 1500ms, this->out);
        CPPUNIT_ASSERT(this->out.decisions.at(0).outcome == claim_outcome::claim_store_unavailable);
        this->respond(sequence, claim_outcome::granted, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->out.decisions.size());
        for (const std::uint32_t round : {1U, 2U})
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->client.unacknowledged());
            this->client.receive(
                {.token = {this->self, sequence}, .kind = claim_update_kind::released, .round = round});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->client.unacknowledged());
    }

    /// Guards against the release of a claim that ran.
    void late_grant_of_a_run_is_ignored()
    {
        const std::uint64_t sequence = this->client.begin(this->now, {}, this->out);
        this->respond(sequence, claim_outcome::granted, true);
        CPPUNIT_ASSERT(this->out.decisions.at(0).start_before == this->now + 2min);
        CPPUNIT_ASSERT(!this->client.cancel(this->now, sequence, this->out));
        this->client.finish(this->now, sequence, this->out);
        this->client.receive({.token = {this->self, sequence}, .kind = claim_update_kind::finished});
        this->respond(sequence, claim_outcome::granted, true);
        CPPUNIT_ASSERT(this->out.decisions.size() == 1 && this->client.unacknowledged() == 0);
    }

private:
    void route(const std::string& committer) { this->router.set_members({&committer, 1}); }

    void respond(std::uint64_t sequence, claim_outcome outcome, bool may_be_recorded)
    {
        this->client.receive(
            this->now,
            {.token = {this->self, sequence}, .outcome = outcome, .may_be_recorded = may_be_recorded},
            this->out);
    }

    process_id self{.incarnation = 3, .daemon = "vm-0"};
    claim_router router;
    claim_client client{{}, this->self, this->router};
    claim_client_outbox out;
    core::time_point now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_test);

} // namespace laburnumreach::idempotency
