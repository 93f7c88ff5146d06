#ifndef LABURNUMREACH_SIDECAR_PEER_SERVER_FIXTURE_HPP
#define LABURNUMREACH_SIDECAR_PEER_SERVER_FIXTURE_HPP

#include "fake_instance.hpp"
#include "fake_peer.hpp"
#include "laburnumreach/sidecar/peer_server.hpp"
#include "test_names.hpp"

#include <cppunit/TestFixture.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// A peer_server with an instance, for tests that connect to it as other daemons.
class peer_server_fixture : public CppUnit::TestFixture
{
public:
    void setUp() override
    {
        this->state.apply({.id = "i", .address = "a", .service = "s", .slots = 10, .sequence = 1});
        this->accept();
    }

protected:
    tcp::endpoint address() const { return this->acceptor.local_endpoint(); }

    void accept()
    {
        this->acceptor.async_accept(
            [this](const error_code& error, tcp::socket socket)
            {
                if (!error)
                {
                    this->server.accept(std::move(socket));
                    this->accept();
                }
            });
    }

    template <typename Condition>
    void run_until(Condition met, core::duration limit = 5s)
    {
        const core::time_point begin = core::boot_clock::now();
        for (this->elapsed = {}; !met() && this->elapsed < limit;
             this->elapsed = core::boot_clock::now() - begin)
        {
            this->io.run_one_for(10ms);
        }
    }

    void run_for(core::duration time)
    {
        this->run_until([] { return false; }, time);
    }

    asio::io_context io;
    event_log log{"test"};
    sidecar_metrics metrics;
    fake_instance instance{this->io};
    instance_state state{"a"};
    instance_dispatcher dispatcher{
        this->io,
        {.instance_address = this->instance.acceptor.local_endpoint(), .names = test_names()},
        this->state,
        this->log,
        this->metrics};
    fleet_state fleet{{.daemon_id = "self", .started_ms = own_started_ms}};
    peer_server server{this->dispatcher,
                       this->fleet,
                       this->log,
                       {.ratios = [] { return std::span<const call_ratio>{}; },
                        .on_probe = [](const member_record&, const probe_message&) {},
                        .on_token_request = [](const token_request_message& request)
                        { return token_grant_message{.id = request.id}; }}};
    tcp::acceptor acceptor{this->io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    core::duration elapsed{};
};

} // namespace laburnumreach::sidecar

#endif
