// Guards against one malformed message or unexpected error ending a router, or one of its
// background tasks: malformed stored objects, datagrams of other programs, and exceptions thrown
// in tasks of the event loop.

#include "standins/rietwerk/metadataserver.h"
#include "support/loopback.h"
#include "support/waituntil.h"

#include "almondmill/forward/forwardersettings.h"
#include "almondmill/forward/forwardingrouter.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/http/supervisedtask.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/peers/partevidencemessage.h"
#include "almondmill/peers/peermessage.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace almondmill::test {

namespace {

using nlohmann::json;
using standin::rietwerk::MetadataServer;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *LeaseKind = "almondmill-leases";
constexpr const char *RouterKind = "almondmill-routers";

/// The stand-in of the metadata store on a thread of its own.
class StoreThread
{
public:
    StoreThread()
        : m_server(m_loop, nextLoopbackAddress() + ":8200")
        , m_work(m_loop.get_executor())
        , m_thread([this] { m_loop.run(); })
    {}

    ~StoreThread()
    {
        m_loop.stop();
        m_thread.join();
    }

    std::string address() const { return m_server.address(); }

    void put(const std::string &kind, const std::string &name, const json &spec)
    {
        run([&] { m_server.store().put(kind, name, spec, std::chrono::steady_clock::now()); });
    }

    std::size_t count(const std::string &kind)
    {
        std::size_t objects = 0;
        run([&] { objects = m_server.store().list(kind).size(); });
        return objects;
    }

private:
    void run(const std::function<void()> &task)
    {
        std::promise<void> done;
        boost::asio::post(m_loop, [&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    boost::asio::io_context m_loop;
    MetadataServer m_server;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

ForwarderSettings settingsFor(const std::string &store, const std::string &host)
{
    ForwarderSettings settings;
    settings.name = "router-1";
    settings.dataCentre = "dc-1";
    settings.adapter = "rietwerk";
    settings.store = store;
    settings.callersListen = host + ":8100";
    settings.readyListen = host + ":8101";
    settings.peersListen = host + ":8103";
    return settings;
}

/// A complete router on a thread of its own.
class RouterThread
{
public:
    explicit RouterThread(const ForwarderSettings &settings)
        : m_router(m_loop, settings, "router.toml")
        , m_thread([this] {
            m_router.run();
            m_ended = true;
        })
    {}

    ~RouterThread()
    {
        m_loop.stop();
        m_thread.join();
    }

    bool hasEnded() const { return m_ended; }

    /// Value of the dump's field at the JSON pointer `where`.
    json dumped(const char *where)
    {
        std::promise<json> value;
        boost::asio::post(m_loop, [&] {
            value.set_value(json::parse(m_router.dump(ClockTimes::now()))
                                    .value(json::json_pointer(where), json()));
        });
        return value.get_future().get();
    }

    std::size_t peers() { return dumped("/live_peers").get<std::size_t>(); }

private:
    boost::asio::io_context m_loop;
    ForwardingRouter m_router;
    std::atomic<bool> m_ended{false};
    std::thread m_thread;
};

json smallConfiguration(std::uint64_t version)
{
    return {{"version", version}, {"routes", json::array()}, {"services", json::array()}};
}

json cbor(std::initializer_list<json> fields)
{
    return json::array_t(fields);
}

void sendDatagram(const std::string &to, const std::string &bytes)
{
    boost::asio::io_context loop;
    boost::asio::ip::udp::socket socket(loop, boost::asio::ip::udp::v4());
    const auto address = parseSocketAddress(to);
    socket.send_to(boost::asio::buffer(bytes), {address.address(), address.port()});
}

std::string encoded(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

} // namespace

TEST(MalformedMessages, AnUnreadableLeaseDoesNotEndTheRouter)
{
    StoreThread store;
    store.put("config", "main", smallConfiguration(1));
    store.put(LeaseKind, "weights-rollout", {{"holder", 5}});
    RouterThread router(settingsFor(store.address(), nextLoopbackAddress()));
    // The first request for the lease comes up to 1.5 s after the start.
    std::this_thread::sleep_for(seconds(2));
    EXPECT_FALSE(router.hasEnded());
    EXPECT_EQ(router.dumped("/config_version"), 1);
}

TEST(MalformedMessages, UnreadableEntriesOfRoutersDoNotHideTheOthers)
{
    StoreThread store;
    store.put("config", "main", smallConfiguration(1));
    const std::string soundHost = nextLoopbackAddress();
    store.put(RouterKind, "a-number", {{"address", 5}});
    store.put(RouterKind, "b-no-address", {{"address", "nowhere"}});
    store.put(RouterKind, "c-no-object", json::array({1, 2}));
    RouterThread sound(settingsFor(store.address(), soundHost));
    ForwarderSettings second = settingsFor(store.address(), nextLoopbackAddress());
    second.name = "router-2";
    RouterThread other(second);
    EXPECT_TRUE(waitUntil([&] { return sound.peers() == 1 && other.peers() == 1; }, seconds(8)));
}

TEST(MalformedMessages, DatagramsOfOtherProgramsLeaveTheRouterListening)
{
    StoreThread store;
    store.put("config", "main", smallConfiguration(1));
    const std::string host = nextLoopbackAddress();
    RouterThread router(settingsFor(store.address(), host));
    ASSERT_TRUE(waitUntil([&] { return router.dumped("/config_version") == 1; }, seconds(8)));
    for (const std::string &bytes :
         {std::string("\xbb"
                      "aaaaaaaa"),
          std::string("\x81"), std::string(1400, '\x81'), std::string(1400, '\xff'), std::string(),
          encoded(cbor({3})), encoded(cbor({3, "x", -1, "y"})), encoded(cbor({101, 5})),
          encoded(cbor({201, "a", 1, true, 1})), encoded(cbor({201, 1, 2, true, 4096})),
          encoded(cbor({301, "x", 1, 1, cbor({cbor({-1, cbor({5})})})})), encoded(cbor({301, 7})),
          encoded(cbor({301, "", 0, 0, cbor({cbor({9, cbor({7, -5, 1})})})})),
          encoded(cbor({101, "x", 1, 1, 0, cbor({cbor({"m", 9, -5})}), json::array(), "z"}))})
        sendDatagram(host + ":8103", bytes);
    PeerMessage message;
    message.sender = "router-2";
    message.incarnation = 1;
    message.sequence = 1;
    message.loads = {{7, {1, 10, 100}}};
    sendDatagram(host + ":8103", encodePeerMessage(message));
    EXPECT_TRUE(waitUntil([&] { return router.peers() == 1; }, seconds(3)));
    EXPECT_FALSE(router.hasEnded());
}

// Issue 24: no router sees enough of the crashes. One that hears of them tells the others.
TEST(PartEvidenceMessage, OpensThePartAtAllRouters)
{
    StoreThread store;
    store.put("config", "main", smallConfiguration(1));
    const std::string host = nextLoopbackAddress();
    RouterThread first(settingsFor(store.address(), host));
    ForwarderSettings settings = settingsFor(store.address(), nextLoopbackAddress());
    settings.name = "router-2";
    RouterThread second(settings);
    ASSERT_TRUE(waitUntil([&] { return first.peers() == 1 && second.peers() == 1; }, seconds(8)));
    const SteadyTime now = std::chrono::steady_clock::now();
    PartEvidenceMessage message;
    message.evidence = {{7, {{1, now - seconds(3)}, {2, now - seconds(2)}, {3, now - seconds(1)}}}};
    sendDatagram(host + ":8103", encodePartEvidence(message, now));
    const auto isOpen = [](RouterThread &router) {
        return router.dumped("/open_parts/0/part") == 7;
    };
    EXPECT_TRUE(waitUntil([&] { return isOpen(first) && isOpen(second); }, seconds(3)));
}

// Guards against a router that has just started sending a crashing part to engines until the rounds
// of one of many peers reach it.
TEST(PartEvidenceMessage, ComesAtOnceToARouterThatHasJustStarted)
{
    constexpr int Peers = 60;
    StoreThread store;
    store.put("config", "main", smallConfiguration(1));
    const std::string host = nextLoopbackAddress();
    RouterThread router(settingsFor(store.address(), host));
    ASSERT_TRUE(waitUntil([&] { return router.dumped("/config_version") == 1; }, seconds(8)));
    PeerMessage state;
    state.sequence = 1;
    for (int peer = 0; peer < Peers; ++peer) {
        state.sender = "peer-" + std::to_string(peer);
        state.incarnation = 1;
        sendDatagram(host + ":8103", encodePeerMessage(state));
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    PartEvidenceMessage message;
    message.evidence = {{7, {{1, now - seconds(3)}, {2, now - seconds(2)}, {3, now - seconds(1)}}}};
    sendDatagram(host + ":8103", encodePartEvidence(message, now));
    ASSERT_TRUE(waitUntil([&] { return router.dumped("/open_parts/0/part") == 7; }, seconds(3)));
    boost::asio::io_context loop;
    const auto own = parseSocketAddress(nextLoopbackAddress() + ":8103");
    boost::asio::ip::udp::socket socket(loop, {own.address(), own.port()});
    socket.non_blocking(true);
    const auto isToldAsNew = [&](std::uint64_t incarnation) {
        state.sender = "router-2";
        state.incarnation = incarnation;
        const auto to = parseSocketAddress(host + ":8103");
        socket.send_to(boost::asio::buffer(encodePeerMessage(state)), {to.address(), to.port()});
        return waitUntil(
                [&] {
                    std::string bytes(1400, '\0');
                    boost::system::error_code error;
                    bytes.resize(socket.receive(boost::asio::buffer(bytes), 0, error));
                    return decodePartEvidence(bytes, now).has_value();
                },
                milliseconds(200));
    };
    EXPECT_TRUE(isToldAsNew(1));
    EXPECT_TRUE(isToldAsNew(2));
}

TEST(MalformedMessages, LoadsThatAreNoCountsAreRejected)
{
    for (const json &value :
         {json(std::numeric_limits<double>::infinity()),
          json(std::numeric_limits<double>::quiet_NaN()), json(-5), json("9")}) {
        const json message =
                cbor({4, "router-2", 1, 1, false, 0, json::array(), cbor({7, 10, value, 100}),
                      json::array(), json::array(), json::array()});
        EXPECT_FALSE(decodePeerMessage(encoded(message))) << value;
    }
    const json sound = cbor({4, "router-2", 1, 1, false, 0, json::array(), cbor({7, 10, 5, 100}),
                             json::array(), json::array(), json::array()});
    EXPECT_TRUE(decodePeerMessage(encoded(sound)));
}

TEST(MalformedMessages, TimesInMessagesAreLimited)
{
    const json message =
            cbor({4, "router-2", 1, 1, false, 0,
                  cbor({cbor({"m", 4, std::numeric_limits<std::int64_t>::min()})}), json::array(),
                  cbor({cbor({7, std::numeric_limits<std::int64_t>::max()})}), json::array(),
                  json::array()});
    const auto decoded = decodePeerMessage(encoded(message));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->weights.front().knownFor, milliseconds(0));
    EXPECT_EQ(decoded->loading.front().timeLeft, milliseconds(std::chrono::hours(24)));
}

TEST(SupervisedTask, IsStartedAgainAfterAnException)
{
    boost::asio::io_context loop;
    int starts = 0;
    startSupervised(loop, "test", [&]() -> boost::asio::awaitable<void> {
        if (++starts < 3)
            throw std::runtime_error("unexpected");
        co_return;
    });
    loop.run_for(seconds(5));
    EXPECT_EQ(starts, 3);
}

TEST(SupervisedTask, AnExceptionOfAHandlerLeavesTheLoopRunning)
{
    boost::asio::io_context loop;
    bool ran = false;
    boost::asio::post(loop, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(loop, [&] { ran = true; });
    runSupervised(loop);
    EXPECT_TRUE(ran);
}

} // namespace almondmill::test
