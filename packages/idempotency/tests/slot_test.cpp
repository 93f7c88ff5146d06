#include "laburnumreach/idempotency/answer_cache.hpp"
#include "laburnumreach/idempotency/claim_router.hpp"
#include "laburnumreach/idempotency/claim_slot.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace laburnumreach::idempotency
{

namespace
{

using namespace std::chrono_literals;

claim_key key_of(std::size_t number)
{
    return make_claim_key("serra", "orders", std::to_string(number));
}

claim_changes changes_of(std::size_t count)
{
    claim_changes changes;
    for (std::size_t number = 0; number < count; ++number)
    {
        const std::string daemon = "vm-" + std::to_string(number % 700);
        changes[key_of(number)] = {.token = {.owner = {.incarnation = ~number % 700, .daemon = daemon},
                                             .sequence = 1'000'000 + number},
                                   .state = static_cast<claim_state>(number % 3)};
    }
    return changes;
}

} // namespace

class slot_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_test);
    CPPUNIT_TEST(full_slot_survives_encoding_within_its_bound);
    CPPUNIT_TEST(damaged_values_are_refused);
    CPPUNIT_TEST(records_are_held_for_the_stated_generations);
    CPPUNIT_TEST(growth_is_bounded_by_size);
    CPPUNIT_TEST(keys_are_checked_and_scoped);
    CPPUNIT_TEST(membership_change_moves_few_slots);
    CPPUNIT_TEST(answers_are_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void full_slot_survives_encoding_within_its_bound()
    {
        const claim_changes changes = changes_of(claim_slot::max_records);
        const claim_slot slot =
            claim_slot{}.updated(changes, {.operation = {.incarnation = 5, .sequence = 6}});
        const std::string value = slot.encode();
        CPPUNIT_ASSERT(value.size() <= claim_slot::max_encoded_bytes);
        const core::result<claim_slot> read = claim_slot::decode(value);
        CPPUNIT_ASSERT(read && read->last_operation() == slot.last_operation() && read->revision() == 1);
        CPPUNIT_ASSERT_EQUAL(changes.size(), read->size());
        for (const auto& [key, change] : changes)
        {
            const claim_record* record = read->find(key);
            CPPUNIT_ASSERT(record != nullptr && read->token_of(*record) == change.token);
            CPPUNIT_ASSERT(record->state == change.state);
        }
        CPPUNIT_ASSERT(!read->has_room({.records = 1}, claim_slot::max_records));
    }

    /// Guards against a damaged object read as an empty or smaller table, which would free claims.
    void damaged_values_are_refused()
    {
        const std::string value = claim_slot{}.updated(changes_of(5), {}).encode();
        for (std::size_t size = 0; size < value.size(); ++size)
        {
            CPPUNIT_ASSERT(!claim_slot::decode(value.substr(0, size)));
        }
        for (const std::string& damaged :
             {value + "AAAA", value.substr(4), "x" + value.substr(1), "[]" + value})
        {
            CPPUNIT_ASSERT(!claim_slot::decode(damaged));
        }
    }

    void records_are_held_for_the_stated_generations()
    {
        claim_slot slot = claim_slot{}.updated(changes_of(3), {});
        for (std::size_t generation = 1; generation <= claim_slot::retention_generations; ++generation)
        {
            slot = slot.updated({}, {.ends_generation = true});
            const std::size_t released = generation < claim_slot::released_generations ? 1 : 0;
            const std::size_t held = generation < claim_slot::retention_generations ? 2 : 0;
            CPPUNIT_ASSERT_EQUAL(held + released, slot.size());
        }
        CPPUNIT_ASSERT(claim_slot::decode(slot.encode()) &&
                       !slot.knows({.incarnation = 699, .daemon = "vm-0"}));
    }

    /// Guards against a slot over 1 MB, which could not be written again, through many or long owner ids.
    void growth_is_bounded_by_size()
    {
        const claim_slot slot = claim_slot{}.updated(changes_of(10'000), {});
        CPPUNIT_ASSERT(slot.has_room({.records = 10'000}, claim_slot::max_records));
        CPPUNIT_ASSERT(!slot.has_room({.records = 10'001}, claim_slot::max_records));
        CPPUNIT_ASSERT(!slot.has_room({.records = 1, .processes = 40'000}, claim_slot::max_records));
        CPPUNIT_ASSERT(!slot.has_room({.processes = 1, .process_bytes = 1'000'000}, claim_slot::max_records));
    }

    void keys_are_checked_and_scoped()
    {
        for (const std::string& valid : {std::string{"a"}, std::string(128, '~'), std::string{"!"}})
        {
            CPPUNIT_ASSERT(valid_idempotency_key(valid));
        }
        for (const std::string& invalid :
             {std::string{}, std::string(129, 'a'), std::string{"a b"}, std::string{"a\x7f"},
              std::string{"\xc3\xa4"}, std::string(1, '\0')})
        {
            CPPUNIT_ASSERT(!valid_idempotency_key(invalid));
        }
        const claim_key key = make_claim_key("t", "r", "k");
        CPPUNIT_ASSERT(key == make_claim_key("t", "r", "k") && slot_of(key) < slot_count);
        CPPUNIT_ASSERT(!(key == make_claim_key("u", "r", "k")) && !(key == make_claim_key("t", "s", "k")));
        CPPUNIT_ASSERT(!(make_claim_key("tr", "", "k") == make_claim_key("t", "r", "k")));
    }

    void membership_change_moves_few_slots()
    {
        claim_router router;
        CPPUNIT_ASSERT(router.committer_of(0).empty());
        const std::vector<std::string> all{"vm-1", "vm-2", "vm-3", "vm-4"};
        const std::vector<std::string> fewer{"vm-4", "vm-2", "vm-1"};
        router.set_members(all);
        const slot_set moved = router.slots_of("vm-3");
        claim_router changed;
        changed.set_members(fewer);
        for (std::size_t slot = 0; slot < slot_count; ++slot)
        {
            CPPUNIT_ASSERT(moved[slot] != (router.committer_of(slot) == changed.committer_of(slot)));
        }
        CPPUNIT_ASSERT(moved.any() && moved.count() < slot_count / 2);
    }

    /// Guards against unbounded memory, answers past their time, and eviction of an answer that was just
    /// used.
    void answers_are_bounded()
    {
        answer_cache cache{{.max_answer_bytes = 100, .max_total_bytes = 1000}};
        const core::time_point now{1h};
        const auto answer = [](std::size_t size) {
            return recorded_answer{.status = 201, .headers = {{"a", "b"}}, .body = std::string(size, 'x')};
        };
        CPPUNIT_ASSERT(!cache.store(now, key_of(0), answer(99)));
        CPPUNIT_ASSERT(cache.store(now, key_of(1), answer(98)) && cache.store(now, key_of(2), answer(10)));
        CPPUNIT_ASSERT(cache.find(now, key_of(1))->status == 201);
        CPPUNIT_ASSERT(cache.store(now, key_of(3), answer(98)) && cache.total_bytes() <= 1000);
        CPPUNIT_ASSERT(cache.find(now, key_of(1)) && !cache.find(now, key_of(2)) && cache.size() == 2);
        CPPUNIT_ASSERT(cache.find(now + 10min - 1ns, key_of(3)) && !cache.find(now + 10min, key_of(3)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cache.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_test);

} // namespace laburnumreach::idempotency
