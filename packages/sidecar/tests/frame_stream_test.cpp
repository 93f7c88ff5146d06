#include "laburnumreach/sidecar/frame_stream.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against peers whose frames take more memory than there is, and against calls that are lost without
/// a statement for it.
class frame_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(frame_stream_test);
    CPPUNIT_TEST(call_without_memory_is_dropped_and_named);
    CPPUNIT_TEST(reply_is_kept_where_a_call_is_not);
    CPPUNIT_TEST(too_large_frame_closes_the_connection);
    CPPUNIT_TEST(unread_replies_stop_the_reading);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        tcp::acceptor acceptor{this->io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
        tcp::socket connecting{this->io};
        connecting.connect(acceptor.local_endpoint());
        this->peer = std::make_shared<frame_stream>(std::move(connecting));
        this->stream = std::make_shared<frame_stream>(acceptor.accept(), &this->memory);
        this->stream->set_drop_handler([this](frame_type, std::uint64_t id) { this->dropped.push_back(id); });
        this->stream->start(
            [this](frame_type type, std::span<const std::uint8_t> body)
            {
                ++this->frames;
                if (type == frame_type::call)
                {
                    const auto message = decode_frame<call_message>(body);
                    CPPUNIT_ASSERT(message.has_value());
                    this->calls.push_back(message->id);
                }
                if (type == frame_type::probe)
                {
                    this->stream->send(frame_type::probe_reply, probe_reply_message{});
                }
            },
            [this] { this->closed = true; });
    }

    void call_without_memory_is_dropped_and_named()
    {
        memory_reservation other{&this->memory, memory_use::large_body};
        other.resize(700 * 1024);
        this->send_call(70'000, 1024 * 1024);
        this->send_call(70'001, 100);
        this->run();
        CPPUNIT_ASSERT((this->dropped == std::vector<std::uint64_t>{70'000}));
        CPPUNIT_ASSERT((this->calls == std::vector<std::uint64_t>{70'001}));
        other.resize(0);
        this->send_call(70'002, 1024 * 1024);
        this->run();
        CPPUNIT_ASSERT((this->calls == std::vector<std::uint64_t>{70'001, 70'002}));
        CPPUNIT_ASSERT(this->memory.held_bytes() < 256 * 1024);
    }

    void reply_is_kept_where_a_call_is_not()
    {
        memory_reservation other{&this->memory, memory_use::large_body};
        other.resize(900 * 1024);
        this->peer->send(frame_type::reply, reply_message{.id = 5, .body = std::string(512 * 1024, 'r')});
        this->run();
        CPPUNIT_ASSERT_EQUAL(1, this->frames);
        other.resize(4 * 1024 * 1024);
        this->peer->send(frame_type::reply, reply_message{.id = 6, .body = std::string(512 * 1024, 'r')});
        this->run();
        CPPUNIT_ASSERT((this->dropped == std::vector<std::uint64_t>{6}));
    }

    void too_large_frame_closes_the_connection()
    {
        this->stream->set_frame_limit(1000);
        this->send_call(1, 2000);
        this->run();
        CPPUNIT_ASSERT(this->closed);
        CPPUNIT_ASSERT_EQUAL(0, this->frames);
    }

    /// The peer sends probes and reads no replies.
    void unread_replies_stop_the_reading()
    {
        constexpr int count = 1'000'000;
        for (int number = 0; number < count / 1000; ++number)
        {
            for (int probe = 0; probe < 1000; ++probe)
            {
                this->peer->send(frame_type::probe, probe_message{});
            }
            this->run_some();
        }
        CPPUNIT_ASSERT(this->frames < count);
        CPPUNIT_ASSERT(this->memory.peak_bytes() < 8 * 1024 * 1024);
    }

private:
    void send_call(std::uint64_t id, std::size_t body_bytes)
    {
        this->peer->send(frame_type::call, call_message{.id = id, .body = std::string(body_bytes, 'c')});
    }

    void run_some()
    {
        this->io.restart();
        this->io.poll();
    }

    /// Runs the event loop until no event is ready for 20 ms.
    void run()
    {
        this->io.restart();
        while (this->io.run_one_for(20ms) > 0)
        {
        }
    }

    body_memory memory{1024 * 1024};
    asio::io_context io{1};
    std::shared_ptr<frame_stream> peer; ///< Its handlers are not set: it reads nothing.
    std::shared_ptr<frame_stream> stream;
    std::vector<std::uint64_t> calls;
    std::vector<std::uint64_t> dropped;
    int frames = 0;
    bool closed = false;
};
CPPUNIT_TEST_SUITE_REGISTRATION(frame_stream_test);

} // namespace laburnumreach::sidecar
