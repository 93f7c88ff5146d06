#include "laburnumreach/sidecar/connection_limits.hpp"
#include "laburnumreach/sidecar/http_listener.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <list>
#include <optional>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against idle clients that take all connections, and against the loss of connections that are in
/// use.
class http_listener_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_listener_test);
    CPPUNIT_TEST(idle_connection_is_closed_in_favour_of_a_new_one);
    CPPUNIT_TEST(connections_in_use_stay_and_new_ones_wait);
    CPPUNIT_TEST(most_descriptors_are_for_callers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->listener.emplace(this->io, this->address,
                               server_context{.handle = [this](const std::shared_ptr<exchange>& request)
                                              { this->requests.push_back(request); },
                                              .limits = [] { return caller_limits{}; },
                                              .max_connections = max_connections});
    }

    void tearDown() override
    {
        this->clients.clear();
        this->listener.reset();
        this->requests.clear();
        this->run();
    }

    void idle_connection_is_closed_in_favour_of_a_new_one()
    {
        for (int number = 0; number < 50; ++number)
        {
            this->connect();
        }
        tcp::socket& last = this->connect();
        this->request(last);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->requests.size());
        CPPUNIT_ASSERT(this->listener->connection_count() <= max_connections);
    }

    void connections_in_use_stay_and_new_ones_wait()
    {
        for (std::size_t number = 0; number < max_connections; ++number)
        {
            this->request(this->connect());
        }
        CPPUNIT_ASSERT_EQUAL(max_connections, this->requests.size());
        this->request(this->connect());
        CPPUNIT_ASSERT_EQUAL(max_connections, this->requests.size());
        this->requests[0]->respond({.status = 200, .fields = {}, .body = {}, .close = true});
        this->run();
        this->listener->check_timeouts(core::boot_clock::now() + 2s);
        this->run();
        CPPUNIT_ASSERT_EQUAL(max_connections + 1, this->requests.size());
    }

    void most_descriptors_are_for_callers()
    {
        const connection_limits usual = divide_descriptors(4100);
        CPPUNIT_ASSERT(usual.callers > 2000);
        CPPUNIT_ASSERT(usual.peers > 700);
        CPPUNIT_ASSERT(usual.callers + usual.peers + 3 * usual.each_other < 3500);
        CPPUNIT_ASSERT(max_caller_connections(usual, 13, 300 + 64) > 3000);
        CPPUNIT_ASSERT(max_caller_connections(usual, 700, 40 + 64) > 1900);
        const connection_limits few = divide_descriptors(64);
        CPPUNIT_ASSERT(few.callers >= 8 && few.peers >= 8 && few.each_other >= 8);
    }

private:
    static constexpr std::size_t max_connections = 20;

    tcp::socket& connect()
    {
        tcp::socket& added = this->clients.emplace_back(this->io);
        added.connect(make_endpoint(this->address.address, this->address.port));
        this->run();
        return added;
    }

    void request(tcp::socket& client)
    {
        asio::write(client, asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}));
        this->run();
    }

    /// Runs the event loop until no event is ready for 5 ms.
    void run()
    {
        this->io.restart();
        while (this->io.run_one_for(5ms) > 0)
        {
        }
    }

    asio::io_context io{1};
    config::endpoint address{.address = "127.199.8.1", .port = 7502};
    std::vector<std::shared_ptr<exchange>> requests;
    std::list<tcp::socket> clients;
    std::optional<http_listener> listener;
};
CPPUNIT_TEST_SUITE_REGISTRATION(http_listener_test);

} // namespace laburnumreach::sidecar
