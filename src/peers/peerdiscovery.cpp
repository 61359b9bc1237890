#include "almondmill/peers/peerdiscovery.h"

#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/samejson.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/peers/datagramaddress.h"
#include "almondmill/peers/registeredpeer.h"
#include "almondmill/store/asyncstore.h"
#include "almondmill/store/revision.h"

#include <nlohmann/json.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>
#include <utility>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds StoreTimeout{1000};

/// Delay before a failed store call is retried.
constexpr milliseconds RetryDelay{1500};

/// Delay after its own registration before a router lists the other routers, so that the list
/// includes most of the routers that start at the same time.
constexpr milliseconds RegistrationWindow{1500};

/// Delay until they are listed once more: the first list may be stale by seconds, and lacks routers
/// that started later and whose datagrams were lost.
constexpr milliseconds SecondListDelay{4000};

/// The entry that a router stores of itself.
std::string entryOf(const ForwarderSettings &settings)
{
    return nlohmann::json{{"address", settings.peersListen}, {"data_centre", settings.dataCentre}}
            .dump();
}

/// The router that a stored entry names; logs an event and returns nothing when it is malformed.
std::optional<RegisteredPeer> decodeEntry(const StoredObject &object)
{
    try {
        const auto entry = nlohmann::json::parse(object.value);
        return RegisteredPeer{object.name,
                              parseDatagramAddress(entry.at("address").get<std::string>()),
                              entry.value("data_centre", "")};
    } catch (const std::exception &error) {
        EventLine("peer.entry_unreadable")
                .add("name", object.name)
                .add("revision", revisionText(object.version))
                .add("reason", error.what());
        return std::nullopt;
    }
}

} // namespace

PeerDiscovery::PeerDiscovery(ForwardingContext &context, AsyncStore &store, ListHandler onList)
    : m_context(context)
    , m_store(store)
    , m_onList(std::move(onList))
{}

PeerDiscovery::Awaitable<void> PeerDiscovery::run()
{
    co_await registerUntilAnswered();
    co_await sleepFor(m_context.loop, RegistrationWindow);
    co_await listPeersUntilAnswered();
    co_await sleepFor(m_context.loop, SecondListDelay);
    co_await listPeersUntilAnswered();
}

void PeerDiscovery::listEarly()
{
    boost::asio::co_spawn(m_context.loop, listPeers(), boost::asio::detached);
}

// The loops below keep `co_await` out of their conditions: with it there, programs built with GCC
// 12 crashed, for a cause that is not known.
PeerDiscovery::Awaitable<void> PeerDiscovery::registerUntilAnswered()
{
    for (;;) {
        const bool isRegistered = co_await registerSelf();
        if (isRegistered)
            co_return;
        co_await sleepFor(m_context.loop, RetryDelay);
    }
}

PeerDiscovery::Awaitable<void> PeerDiscovery::listPeersUntilAnswered()
{
    for (;;) {
        const bool isListed = co_await listPeers();
        if (isListed)
            co_return;
        co_await sleepFor(m_context.loop, RetryDelay);
    }
}

PeerDiscovery::Awaitable<bool> PeerDiscovery::registerSelf()
{
    const std::string value = entryOf(m_context.settings);
    const auto deadline = [] { return steadyNow() + StoreTimeout; };
    const auto created = co_await m_store.create(ObjectKind::Routers, m_context.settings.name,
                                                 value, deadline());
    if (std::holds_alternative<Applied>(created))
        co_return true;
    const auto *conflict = std::get_if<Conflict>(&created);
    if (!conflict || !conflict->current)
        co_return false;
    if (isSameJson(conflict->current->value, value))
        co_return true;
    const auto updated = co_await m_store.update(ObjectKind::Routers, m_context.settings.name,
                                                 value, conflict->current->version, deadline());
    co_return std::holds_alternative<Applied>(updated);
}

PeerDiscovery::Awaitable<bool> PeerDiscovery::listPeers()
{
    const auto result = co_await m_store.list(ObjectKind::Routers, Freshness::MayBeStale,
                                              steadyNow() + StoreTimeout);
    const auto *list = std::get_if<ObjectList>(&result);
    if (!list)
        co_return false;
    std::vector<RegisteredPeer> peers;
    for (const StoredObject &object : list->objects) {
        if (auto peer = decodeEntry(object))
            peers.push_back(std::move(*peer));
    }
    m_onList(peers);
    co_return true;
}

} // namespace almondmill
