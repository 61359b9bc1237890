#include "almondmill/peers/peerexchange.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/randomid.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/store/asyncstore.h"

#include <nlohmann/json.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Between two rounds of telling.
constexpr milliseconds TellInterval{250};

/// Routers told in one round: with messages of some 200 bytes, and about as much for headers,
/// within the 2 KB a second that a router may spend on its own control traffic.
constexpr std::size_t PeersPerRound = 3;

/// The largest datagram that crosses a link in one piece.
constexpr std::size_t MostDatagramBytes = 1400;

constexpr milliseconds StoreTimeout{1000};

/// Until the store is asked again after a failure.
constexpr milliseconds RetryPause{1500};

/// Routers that start together register in this time, so that the list that each reads afterwards
/// holds most of them.
constexpr milliseconds RegistrationTime{1500};

asio::awaitable<void> sleep(asio::io_context &loop, milliseconds pause)
{
    asio::steady_timer timer(loop, pause);
    boost::system::error_code ignored; // Only the end of the loop cancels it.
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::ip::udp::endpoint parseDatagramAddress(const std::string &text)
{
    const auto address = parseSocketAddress(text);
    return {address.address(), address.port()};
}

} // namespace

PeerExchange::PeerExchange(ForwardingContext &context, AsyncStore &store, Learned learned)
    : m_context(context)
    , m_store(store)
    , m_learned(std::move(learned))
    , m_socket(context.loop)
    , m_incarnation(randomIncarnation())
{}

void PeerExchange::start()
{
    const Address own = parseDatagramAddress(m_context.settings.peersListen);
    m_socket.open(own.protocol());
    m_socket.bind(own);
    m_socket.non_blocking(true);
    asio::co_spawn(m_context.loop, findPeers(), asio::detached);
    asio::co_spawn(m_context.loop, receive(), asio::detached);
    asio::co_spawn(m_context.loop, tell(), asio::detached);
}

void PeerExchange::announce()
{
    const PeerMessage message = describe(std::chrono::steady_clock::now());
    for (auto &[name, peer] : m_peers)
        tellPeer(peer, message);
}

asio::awaitable<void> PeerExchange::findPeers()
{
    while (!co_await registerSelf())
        co_await sleep(m_context.loop, RetryPause);
    co_await sleep(m_context.loop, RegistrationTime);
    for (;;) {
        const auto result = co_await m_store.list(ObjectKind::Routers,
                                                  std::chrono::steady_clock::now() + StoreTimeout);
        if (const auto *list = std::get_if<ObjectList>(&result)) {
            for (const StoredObject &object : list->objects) {
                const auto value = nlohmann::json::parse(object.value, nullptr, false);
                if (value.is_object() && value.contains("address"))
                    addPeer(object.name,
                            parseDatagramAddress(value.at("address").get<std::string>()));
            }
            EventLine("peers.found").add("routers", m_peers.size());
            announce();
            co_return;
        }
        co_await sleep(m_context.loop, RetryPause);
    }
}

asio::awaitable<bool> PeerExchange::registerSelf()
{
    const std::string value = nlohmann::json{{"address", m_context.settings.peersListen}}.dump();
    const auto deadline = [] { return std::chrono::steady_clock::now() + StoreTimeout; };
    const auto created = co_await m_store.create(ObjectKind::Routers, m_context.settings.name,
                                                 value, deadline());
    if (std::holds_alternative<Applied>(created))
        co_return true;
    const auto *conflict = std::get_if<Conflict>(&created);
    if (!conflict || !conflict->current)
        co_return false;
    if (conflict->current->value == value)
        co_return true;
    const auto updated = co_await m_store.update(ObjectKind::Routers, m_context.settings.name,
                                                 value, conflict->current->version, deadline());
    co_return std::holds_alternative<Applied>(updated);
}

asio::awaitable<void> PeerExchange::receive()
{
    std::array<char, MostDatagramBytes> bytes;
    for (;;) {
        Address from;
        boost::system::error_code error;
        const std::size_t got = co_await m_socket.async_receive_from(
                asio::buffer(bytes), from, asio::redirect_error(asio::use_awaitable, error));
        // An error belongs to an earlier datagram that found nobody.
        if (!error)
            take({bytes.data(), got}, from);
    }
}

asio::awaitable<void> PeerExchange::tell()
{
    for (;;) {
        co_await sleep(m_context.loop, TellInterval);
        const SteadyTime now = std::chrono::steady_clock::now();
        for (const auto &[id, view] : m_context.endpoints.all())
            view->averageLoad(now);
        m_context.peers.refresh(now);
        if (m_order.empty())
            continue;
        const PeerMessage message = describe(now);
        for (std::size_t sent = 0; sent < std::min(PeersPerRound, m_order.size()); ++sent) {
            m_next = (m_next + 1) % m_order.size();
            tellPeer(m_peers[m_order[m_next]], message);
        }
    }
}

void PeerExchange::take(std::string_view bytes, const Address &from)
{
    const auto message = decodePeerMessage(bytes);
    if (!message) {
        m_context.metrics.counter("almondmill_peer_messages_unreadable_total").add();
        return;
    }
    addPeer(message->sender, from);
    if (m_context.peers.learn(*message, std::chrono::steady_clock::now()))
        m_learned(*message);
}

void PeerExchange::addPeer(const std::string &name, const Address &address)
{
    if (name == m_context.settings.name)
        return;
    const auto [place, isNew] = m_peers.try_emplace(name);
    place->second.address = address;
    if (isNew)
        m_order.push_back(name);
}

void PeerExchange::tellPeer(Peer &peer, PeerMessage message)
{
    message.placements = m_context.parts.news(peer.toldPlacements);
    const std::string bytes = encodePeerMessage(message);
    m_context.metrics.counter("almondmill_peer_bytes_sent_total").add(bytes.size());
    boost::system::error_code ignored; // A lost message is made good by the next.
    m_socket.send_to(asio::buffer(bytes), peer.address, 0, ignored);
}

PeerMessage PeerExchange::describe(SteadyTime now)
{
    PeerMessage message;
    message.sender = m_context.settings.name;
    message.incarnation = m_incarnation;
    message.sequence = ++m_sequence;
    message.leaving = m_context.draining;
    const auto table = m_context.table.snapshot();
    message.configuration = table ? table->version() : 0;
    for (const WeightsTarget &target : m_context.weights.all()) {
        // Older versions go with it: each has its own bound.
        for (const auto &[version, since] : m_context.weights.named(target.model))
            message.weights.push_back({{target.model, version},
                                       std::chrono::duration_cast<milliseconds>(now - since)});
    }
    for (const auto &[id, view] : m_context.endpoints.all()) {
        const EndpointLoad load = view->averageLoad(now);
        if (load.openRequests >= 0.1 || load.unreadTokens >= 1)
            message.loads.push_back({shortHash(id), load});
        const auto loadingFor =
                std::chrono::duration_cast<milliseconds>(view->loadingUntil() - now);
        if (loadingFor.count() > 0)
            message.loading.push_back({shortHash(id), loadingFor});
    }
    return message;
}

} // namespace almondmill
