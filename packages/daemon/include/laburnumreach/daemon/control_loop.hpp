#ifndef LABURNUMREACH_DAEMON_CONTROL_LOOP_HPP
#define LABURNUMREACH_DAEMON_CONTROL_LOOP_HPP

#include "laburnumreach/config/config_document.hpp"
#include "laburnumreach/core/posix_thread.hpp"
#include "laburnumreach/daemon/config_watcher.hpp"
#include "laburnumreach/daemon/daemon_state.hpp"
#include "laburnumreach/daemon/event_queue.hpp"
#include "laburnumreach/daemon/platform_worker.hpp"
#include "laburnumreach/daemon/zone_keeper.hpp"
#include "laburnumreach/membership/gossip.hpp"
#include "laburnumreach/protocol/control_envelope.hpp"
#include "laburnumreach/protocol/control_transport.hpp"
#include "laburnumreach/quota/borrower.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace laburnumreach::daemon
{

/// The control thread: membership, configuration, quota and claims. All control state belongs to it.
class control_loop
{
public:
    /// @param transport an open transport
    control_loop(daemon_state& state, std::unique_ptr<protocol::control_transport> transport);
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    ~control_loop();

    /// Starts the thread.
    void start();

    /// Tells the other daemons to send no more work here and hands the quota roles over. Called from any
    /// thread.
    void begin_leave();

    /// Announces the leave; the last step before stop. Called from any thread.
    void announce_left();

    /// Returns whether the quota roles were handed over.
    bool roles_released() const noexcept { return this->released.load(); }

    /// Stops and joins the thread.
    void stop();

    /// Returns a recent description of the control state as JSON text.
    std::shared_ptr<const std::string> status() const { return this->status_text.load(); }

    /// Asks the control thread to look at the quota and the claims soon. Called from any thread.
    void wake() { this->events.wake(); }

private:
    void run();
    void wait_for_work();
    void tick(core::time_point now);
    void receive_messages(core::time_point now);
    void handle(core::time_point now, const protocol::control_envelope& envelope);
    void handle_configuration_request(const protocol::control_envelope& envelope);
    void handle_configuration_reply(core::time_point now, const protocol::control_envelope& envelope);
    void handle_quota(core::time_point now, const protocol::control_envelope& envelope);

    void send(std::string_view address, std::string_view receiver, protocol::control_kind kind,
              std::vector<std::uint8_t> body);
    void send_gossip(const std::vector<membership::outgoing_gossip>& messages);
    void send_quota(const zone_keeper::outbox& messages);
    void send_claims();

    void update_own_record(core::time_point now);
    void update_members(core::time_point now);
    void update_config_source(core::time_point now);
    void update_zone_roles(core::time_point now);
    void update_key_freshness(core::time_point now);
    void request_configuration(core::time_point now);
    void apply(core::time_point now, const config::config_document& document);
    void run_platform_calls(core::time_point now);
    void post_claim_call(const idempotency::store_call& call);
    void poll_quota(core::time_point now);
    void publish_status(core::time_point now);

    const membership::member_record* zone_lender(std::string_view zone) const;
    bool is_running(const idempotency::process_id& process) const;

    daemon_state& state;
    quota::daemon_ref self;
    event_queue& events;
    std::unique_ptr<protocol::control_transport> transport;
    membership::gossip members;
    quota::borrower<std::mutex> borrower;
    zone_keeper zone;
    std::unique_ptr<config_watcher> watcher;
    std::unique_ptr<platform_worker> lease_worker;
    std::unique_ptr<platform_worker> claim_worker;

    core::time_point started_at;
    core::time_point next_tick_at{};
    core::time_point next_request_at{};
    core::time_point next_status_at{};
    std::uint64_t known_table_hash = 0;
    std::uint64_t known_revision = 0;
    std::uint64_t rejected_revision = 0; ///< A document that this daemon cannot read.
    std::string document_text;           ///< As stored in the platform, for peers.
    std::map<std::string, std::shared_ptr<tenant_quota>> quotas;
    bool leaving = false;
    bool left = false;
    std::atomic<bool> released{false};
    std::atomic<bool> stopping{false};
    std::atomic<std::shared_ptr<const std::string>> status_text;
    core::posix_thread thread;
};

} // namespace laburnumreach::daemon

#endif
