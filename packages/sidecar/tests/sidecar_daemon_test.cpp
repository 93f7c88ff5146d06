#include "laburnumreach/sidecar/sidecar_daemon.hpp"

#include "log_pipe.hpp"
#include "running_daemon.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against settings that change while traffic runs: what may change takes effect, and a broken file
/// changes nothing.
class sidecar_daemon_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sidecar_daemon_test);
    CPPUNIT_TEST(reload_applies_limits);
    CPPUNIT_TEST(reload_of_a_broken_file_keeps_the_settings);
    CPPUNIT_TEST(reload_reports_what_needs_a_restart);
    CPPUNIT_TEST(daemon_that_stops_is_removed_by_the_others);
    CPPUNIT_TEST(removed_daemon_that_starts_without_the_store_is_found);
    CPPUNIT_TEST_SUITE_END();

public:
    void reload_applies_limits()
    {
        config::sidecar_settings next = settings();
        next.stop_grace = 9s;
        next.drain_limit = 3s;
        next.retry_ratio = 0.1;
        next.retry_slack = 7;
        next.retry_window = 5s;
        const std::string log = this->reload(next);
        CPPUNIT_ASSERT(this->active.stop_grace == 9s && this->active.drain_limit == 3s);
        CPPUNIT_ASSERT_EQUAL(0.1, this->active.retry_ratio);
        CPPUNIT_ASSERT_EQUAL(7.0, this->active.retry_slack);
        CPPUNIT_ASSERT(this->active.retry_window == 5s);
        CPPUNIT_ASSERT(log.find("event=reloaded stop_grace_ms=9000 drain_ms=3000") != std::string::npos);
        CPPUNIT_ASSERT(log.find("reload_needs_restart") == std::string::npos);
    }

    void reload_of_a_broken_file_keeps_the_settings()
    {
        const std::string log = this->reload(
            tl::unexpected{std::vector<config::parse_error>{{.line = 3, .column = 1, .reason = "bad"}}});
        CPPUNIT_ASSERT(this->active.stop_grace == settings().stop_grace);
        CPPUNIT_ASSERT(log.find("event=reload_failed cause=\"line 3, column 1: bad") != std::string::npos);
        CPPUNIT_ASSERT(log.find("event=reloaded") == std::string::npos);
    }

    void reload_reports_what_needs_a_restart()
    {
        config::sidecar_settings next = settings();
        next.outbound.port = 9000;
        next.retry_slack = 7;
        const std::string log = this->reload(next);
        CPPUNIT_ASSERT(log.find("event=reload_needs_restart setting=listen.outbound") != std::string::npos);
        CPPUNIT_ASSERT(this->active.outbound == settings().outbound);
        CPPUNIT_ASSERT_EQUAL(7.0, this->active.retry_slack);
    }

    /// Otherwise every share of a limit would be divided by the number of all daemons that ever ran.
    void daemon_that_stops_is_removed_by_the_others()
    {
        running_daemon leaver{{.id = "leaver", .address = 2}};
        running_daemon other{{.id = "other", .address = 3}};
        other.connect_to(leaver);
        leaver.stop();
        CPPUNIT_ASSERT(other.waits_for("event=peer_left peer=leaver"));
        CPPUNIT_ASSERT(other.waits_for("event=peer_removed peer=leaver"));
    }

    /// It knows no member and no configuration, so it depends on the others to connect to it.
    void removed_daemon_that_starts_without_the_store_is_found()
    {
        running_daemon other{{.id = "other", .address = 3}};
        {
            running_daemon leaver{{.id = "leaver", .address = 2}};
            other.connect_to(leaver);
        }
        CPPUNIT_ASSERT(other.waits_for("event=peer_removed peer=leaver"));
        running_daemon restarted{{.id = "leaver", .address = 2}};
        CPPUNIT_ASSERT(restarted.waits_for("event=peer_connected peer=other"));
    }

private:
    static config::sidecar_settings settings()
    {
        const config::endpoint address{.address = "127.0.0.1", .port = 1};
        return {.daemon_id = "d",
                .zone = "z",
                .service = "s",
                .upstream = address,
                .outbound = address,
                .ready = address,
                .control = address,
                .peers = address,
                .announced_address = "127.0.0.1",
                .store = address};
    }

    /// Reloads and stores the settings that are active afterwards.
    /// @returns what was logged
    std::string reload(config::parse_result<config::sidecar_settings> loaded)
    {
        event_log log{"d", this->pipe.descriptor()};
        sidecar_daemon daemon{settings(), {}, log};
        daemon.load_settings = [loaded = std::move(loaded)] { return loaded; };
        daemon.reload();
        this->active = daemon.active_settings();
        log.flush();
        return this->pipe.text();
    }

    log_pipe pipe;
    config::sidecar_settings active;
};
CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_daemon_test);

} // namespace laburnumreach::sidecar
