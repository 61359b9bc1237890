// Guards streams that callers take up at a router that is out of step with the others, while
// endpoints of a new software version join: the router must not trust what it knew before because
// nobody answers. Routers are processes of their own.

#include "soak/siteconfiguration.h"
#include "standins/rietwerk/metadataserver.h"
#include "support/answertexts.h"
#include "support/caller.h"
#include "support/childprocess.h"
#include "support/forwardingharness.h"
#include "support/loopback.h"
#include "support/rawendpoint.h"
#include "support/waituntil.h"

#include "almondmill/forward/softwarehistory.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace almondmill::test {

namespace {

using nlohmann::json;
using standin::rietwerk::MetadataServer;
using std::chrono::milliseconds;

constexpr const char *ResumablePrefix = "/resume/";

/// Streams whose fate a test looks at; more than the rule allows to join two versions.
constexpr int Streams = 3;

json configuration()
{
    soak::SiteConfiguration site;
    site.keys = {"k1"};
    json encoded = json::parse(site.encode());
    for (json &route : encoded["routes"]) {
        if (route["path_prefix"] == ResumablePrefix)
            route["service"] = site.plainService;
    }
    return encoded;
}

/// A store of its own for one router, so that it can be cut off alone.
class RouterStore
{
public:
    explicit RouterStore(boost::asio::io_context &loop)
        : m_server(loop, nextLoopbackAddress() + ":8200")
    {
        put("config", "main", configuration());
    }

    std::string address() const { return m_server.address(); }

    /// Adds an object that nobody has to renew.
    void put(const std::string &kind, const std::string &name, const json &spec)
    {
        const auto later = std::chrono::steady_clock::now() + std::chrono::hours(1);
        m_server.store().put(kind, name, spec, later);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        m_server.store().remove(kind, name, std::nullopt);
    }

    void setSilent(bool isSilent)
    {
        m_server.setFault(isSilent ? MetadataServer::Fault::Silent : MetadataServer::Fault::None);
    }

private:
    MetadataServer m_server;
};

/// A router in a process of its own.
class RouterBeside
{
public:
    RouterBeside(const std::string &name, const RouterStore &store)
        : m_address(nextLoopbackAddress())
        , m_settingsFile("/tmp/almondmill-test-" + m_address + ".toml")
    {
        std::ofstream(m_settingsFile)
                << "name = \"" << name << "\"\ndata_centre = \"dc-1\"\n[forwarding]\n"
                << "adapter = \"rietwerk\"\nstore = \"" << store.address() << "\"\n"
                << "callers_listen = \"" << m_address << ":8100\"\n"
                << "ready_listen = \"" << m_address << ":8101\"\n"
                << "peers_listen = \"" << m_address << ":8103\"\n";
        m_process = std::make_unique<ChildProcess>(
                "almondmilld", std::vector<std::string>{"--config", m_settingsFile}, "/dev/null");
    }

    ~RouterBeside() { std::remove(m_settingsFile.c_str()); }
    RouterBeside(const RouterBeside &) = delete;
    RouterBeside &operator=(const RouterBeside &) = delete;

    /// Sends a request for a stream; `moreHeaders` are complete lines.
    std::string ask(const std::string &id, const std::string &moreHeaders = {}) const
    {
        const RawCaller caller("http://" + m_address + ":8100");
        caller.send(std::string("POST ") + ResumablePrefix + "a HTTP/1.1\r\nHost: " + soak::SoakHost
                    + "\r\nRequest-Id: " + id
                    + "\r\nAuthorization: Bearer k1\r\nConnection: close\r\n" + moreHeaders
                    + "Content-Length: 2\r\n\r\n{}");
        return caller.readToEnd();
    }

    /// Takes the stream up that the request `id` began and that broke after its second event.
    std::string takeUp(const std::string &id) const
    {
        return ask(id + "-again", "Last-Event-Id: 2\r\nResumes: " + id + "\r\n");
    }

    bool waitUntilServing() const
    {
        return waitUntil([&] {
            try {
                return hasStatus(ask("first"), 200);
            } catch (const std::exception &) {
                return false; // Nothing listens yet.
            }
        });
    }

private:
    std::string m_address;
    std::string m_settingsFile;
    std::unique_ptr<ChildProcess> m_process;
};

/// An endpoint of a software version. Its streams break after two events, whoever continues them,
/// until `complete` is called.
class VersionedEndpoint
{
public:
    explicit VersionedEndpoint(std::string version)
        : m_version(std::move(version))
        , m_endpoint([this](int socket, const std::string &call, unsigned) { serve(socket, call); })
    {}

    void complete() { m_completes = true; }

    json entry() const
    {
        return {{"service", soak::SiteConfiguration().plainService},
                {"address", m_endpoint.address()},
                {"zone", "dc-1"},
                {"version", m_version},
                {"slots", 64},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"sequence", 1},
                {"born", 1}};
    }

private:
    std::string event(int id) const
    {
        return "id: " + std::to_string(id) + "\ndata: by " + m_version + "\n\n";
    }

    void serve(int socket, const std::string &call) const
    {
        const bool isNew = headerOf(call, "Last-Event-Id").empty();
        if (isNew)
            RawEndpoint::write(
                    socket,
                    signedHead(call,
                               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                            + chunkText(event(1) + event(2)));
        else if (m_completes)
            RawEndpoint::write(socket, streamAnswer(call, event(3) + event(4), Framing::Chunked));
    }

    std::string m_version;
    std::atomic<bool> m_completes{false};
    RawEndpoint m_endpoint;
};

std::string streamId(const std::string &kind, int number)
{
    return kind + "-" + std::to_string(number);
}

} // namespace

/// Two routers that have served one version for so long that they know of no other one. The second
/// one hears no other router, though it knows of some.
class RouterOutOfStep : public testing::Test
{
protected:
    RouterOutOfStep()
        : m_work(m_loop.get_executor())
        , m_store(m_loop)
        , m_lonelyStore(m_loop)
        , m_thread([this] { m_loop.run(); })
    {
        onLoop([this] {
            m_store.put("servers", "older", m_older.entry());
            m_lonelyStore.put("servers", "older", m_older.entry());
            for (const char *name : {"gone-1", "gone-2", "gone-3"})
                m_lonelyStore.put(
                        "almondmill-routers", name,
                        {{"address", nextLoopbackAddress() + ":8103"}, {"data_centre", "dc-1"}});
        });
        m_router = std::make_unique<RouterBeside>("router-1", m_store);
        m_lonely = std::make_unique<RouterBeside>("router-2", m_lonelyStore);
    }

    ~RouterOutOfStep() override
    {
        m_router.reset();
        m_lonely.reset();
        m_loop.stop();
        m_thread.join();
    }

    void SetUp() override
    {
        ASSERT_TRUE(m_router->waitUntilServing());
        ASSERT_TRUE(m_lonely->waitUntilServing());
        std::this_thread::sleep_for(SoftwareHistory::Retention + std::chrono::seconds(1));
    }

    void onLoop(const std::function<void()> &task)
    {
        std::promise<void> done;
        boost::asio::post(m_loop, [&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    /// Begins streams at the first router, which break off. `version` is that of all of them.
    void beginStreams(const std::string &kind, const std::string &version)
    {
        for (int stream = 0; stream < Streams; ++stream) {
            const std::string begun = m_router->ask(streamId(kind, stream));
            ASSERT_NE(begun.find("id: 2\ndata: by " + version), std::string::npos) << begun;
            ASSERT_EQ(begun.find("id: 3"), std::string::npos) << begun;
        }
    }

    /// Lets an endpoint of a newer version replace the older one in the first router's store.
    void release()
    {
        onLoop([this] {
            m_store.put("servers", "newer", m_newer.entry());
            m_store.remove("servers", "older");
        });
        ASSERT_TRUE(waitUntil(
                [this] { return m_router->ask("probe").find("by v2") != std::string::npos; }));
    }

    VersionedEndpoint m_older{"v1"};
    VersionedEndpoint m_newer{"v2"};
    boost::asio::io_context m_loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    RouterStore m_store;
    RouterStore m_lonelyStore;
    std::thread m_thread;
    std::unique_ptr<RouterBeside> m_router;
    std::unique_ptr<RouterBeside> m_lonely;
};

// A router whose owners of streams are gone refused them (review/15), and one that was cut off must
// not take the streams of a newer version for those of the one that it knew.
TEST_F(RouterOutOfStep, TakesUpStreamsOnlyAsTheStoreConfirms)
{
    ASSERT_NO_FATAL_FAILURE(beginStreams("calm", "v1"));
    m_older.complete();
    for (int stream = 0; stream < Streams; ++stream) {
        const std::string answer = m_lonely->takeUp(streamId("calm", stream));
        EXPECT_NE(answer.find("id: 4\ndata: by v1"), std::string::npos) << answer;
    }

    onLoop([this] { m_lonelyStore.setSilent(true); });
    ASSERT_NO_FATAL_FAILURE(release());
    ASSERT_NO_FATAL_FAILURE(beginStreams("cut", "v2"));
    for (int stream = 0; stream < Streams; ++stream) {
        const std::string answer = m_lonely->takeUp(streamId("cut", stream));
        EXPECT_TRUE(hasStatus(answer, 503)) << answer;
    }

    onLoop([this] {
        m_lonelyStore.put("servers", "newer", m_newer.entry());
        m_lonelyStore.setSilent(false);
    });
    for (int attempt = 0; attempt < 20; ++attempt) {
        const std::string answer = m_lonely->takeUp(streamId("cut", attempt % Streams));
        EXPECT_EQ(answer.find("by v1"), std::string::npos) << answer;
        std::this_thread::sleep_for(milliseconds(100));
    }
}

} // namespace almondmill::test
