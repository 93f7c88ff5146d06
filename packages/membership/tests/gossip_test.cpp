#include "gossip_network.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::membership
{

namespace
{

using namespace std::chrono_literals;

/// A leaving upstream or VM gets no new work after this time.
constexpr core::duration removal_target = 3s;
/// Stated target: a new configuration is in force on every daemon within this time.
constexpr core::duration configuration_target = 2s;

std::string member_id(std::size_t index)
{
    return "vm-" + std::to_string(1000 + index);
}

gossip_network joined_network(std::size_t size, std::uint64_t seed)
{
    gossip_network network{seed};
    for (std::size_t index = 0; index < size; ++index)
    {
        network.add(member_id(index), {member_id(0)});
    }
    network.run(15s);
    for (const auto& [id, node] : network.nodes)
    {
        CPPUNIT_ASSERT_EQUAL(size, node.member->table().entries().size());
    }
    return network;
}

bool refuses_work(const member_record& record)
{
    return !accepts_work(record);
}
bool is_accepting_work(const member_record& record)
{
    return accepts_work(record);
}

} // namespace

class gossip_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gossip_test);
    CPPUNIT_TEST(silent_member_gets_no_work_within_target);
    CPPUNIT_TEST(leaving_member_gets_no_work_within_target);
    CPPUNIT_TEST(draining_upstream_gets_no_work_within_target);
    CPPUNIT_TEST(paused_member_refutes_its_death);
    CPPUNIT_TEST(restarted_member_with_older_clock_is_accepted);
    CPPUNIT_TEST(partitioned_zones_merge_again);
    CPPUNIT_TEST(members_survive_message_loss);
    CPPUNIT_TEST(revision_spreads_and_never_decreases);
    CPPUNIT_TEST(messages_per_member_do_not_grow_with_the_fleet);
    CPPUNIT_TEST(age_beyond_the_clock_is_no_recent_contact);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against failure detection that depends on which members are probed at random.
    void silent_member_gets_no_work_within_target()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            gossip_network network = joined_network(60, seed);
            network.nodes.at(member_id(17)).running = false;
            network.run(removal_target);
            CPPUNIT_ASSERT_EQUAL(std::size_t{59}, network.count_observers(member_id(17), refuses_work));
        }
    }

    void leaving_member_gets_no_work_within_target()
    {
        gossip_network network = joined_network(60, 6);
        auto& leaving = network.nodes.at(member_id(5));
        network.send(member_id(5), leaving.member->leave(network.now));
        leaving.running = false;
        network.run(removal_target);
        CPPUNIT_ASSERT_EQUAL(std::size_t{59}, network.count_observers(member_id(5), refuses_work));
    }

    void draining_upstream_gets_no_work_within_target()
    {
        gossip_network network = joined_network(60, 7);
        auto& draining = network.nodes.at(member_id(5));
        network.send(member_id(5),
                     draining.member->update_self(network.now, [](member_record& record)
                                                  { record.upstream = instance_state::draining; }));
        network.run(removal_target);
        CPPUNIT_ASSERT_EQUAL(std::size_t{59}, network.count_observers(member_id(5), refuses_work));
    }

    /// Guards against a member that stays excluded after its process was paused.
    void paused_member_refutes_its_death()
    {
        gossip_network network = joined_network(20, 8);
        network.nodes.at(member_id(3)).running = false;
        network.run(20s);
        network.nodes.at(member_id(3)).running = true;
        network.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{19}, network.count_observers(member_id(3), is_accepting_work));
    }

    /// Guards against a clock that was set back between two starts, so that the new process appears outdated.
    void restarted_member_with_older_clock_is_accepted()
    {
        gossip_network network = joined_network(10, 9);
        network.nodes.at(member_id(4)).running = false;
        network.run(5s);
        network.add(member_id(4), {member_id(0)}, 0);
        network.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, network.count_observers(member_id(4), is_accepting_work));
    }

    /// Guards against zones that remove each other's members during a partition of an hour and never merge
    /// again.
    void partitioned_zones_merge_again()
    {
        gossip_network network = joined_network(12, 10);
        const auto side = [](const std::string& id) { return id < member_id(6); };
        network.partitioned = [side](const std::string& one, const std::string& other)
        { return side(one) != side(other); };
        network.run(1h);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, network.count_observers(member_id(0), is_accepting_work));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, network.count_observers(member_id(0), refuses_work));
        network.partitioned = [](const std::string&, const std::string&) { return false; };
        network.run(15s);
        for (const auto& [id, node] : network.nodes)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{11}, network.count_observers(id, is_accepting_work));
        }
    }

    /// Guards against members excluded permanently by lost probes.
    void members_survive_message_loss()
    {
        gossip_network network = joined_network(20, 11);
        network.loss = 0.05;
        network.run(60s);
        network.loss = 0.0;
        network.run(5s);
        for (const auto& [id, node] : network.nodes)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{19}, network.count_observers(id, is_accepting_work));
        }
    }

    void revision_spreads_and_never_decreases()
    {
        gossip_network network = joined_network(100, 12);
        gossip& first = *network.nodes.at(member_id(0)).member;
        network.send(member_id(0), first.set_configuration_revision(network.now, 5));
        network.send(member_id(0), first.set_configuration_revision(network.now, 4));
        const core::time_point end = network.now + configuration_target;
        while (network.now < end)
        {
            network.run(10ms);
            for (auto& [id, node] : network.nodes)
            {
                if (const auto source = node.member->configuration_source())
                {
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, source->revision);
                    network.send(id, node.member->set_configuration_revision(network.now, source->revision));
                }
            }
        }
        for (const auto& [id, node] : network.nodes)
        {
            CPPUNIT_ASSERT(!node.member->configuration_source());
            CPPUNIT_ASSERT(node.member->set_configuration_revision(network.now, 5).empty());
        }
    }

    void messages_per_member_do_not_grow_with_the_fleet()
    {
        for (const std::size_t size : {10U, 40U, 160U})
        {
            gossip_network network = joined_network(size, 13);
            for (auto& [id, node] : network.nodes)
            {
                node.messages_sent = 0;
            }
            network.run(10s);
            std::uint64_t total = 0;
            for (const auto& [id, node] : network.nodes)
            {
                total += node.messages_sent;
            }
            // Three probes and as many acks every 500 ms, and no other messages while no record changes.
            CPPUNIT_ASSERT(total <= size * 10 * 12 + size);
        }
    }

    /// The age comes from the wire; a nanosecond clock holds 292 years.
    void age_beyond_the_clock_is_no_recent_contact()
    {
        constexpr core::time_point start{1h};
        for (const std::uint64_t age_ms :
             {std::uint64_t{9'223'372'036'855}, std::uint64_t{1} << 63U, UINT64_MAX})
        {
            gossip member{gossip_options{}, {.id = "a", .version = 1}, core::random_source{1}, start};
            member.receive(start + 1min, "b", "b", {.platform_contact_age_ms = age_ms});
            CPPUNIT_ASSERT(member.platform_contact_age(start + 1min) == 1min);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gossip_test);

} // namespace laburnumreach::membership
