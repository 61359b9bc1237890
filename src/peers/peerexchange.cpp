#include "almondmill/peers/peerexchange.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/randomid.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/peers/newstree.h"
#include "almondmill/peers/placementrelay.h"
#include "almondmill/store/asyncstore.h"

#include <nlohmann/json.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
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

/// Between two turns of relaying placements. A fleet of 121 has seven directions, so that all know
/// of a placement after 0.7 to 1.4 s.
constexpr milliseconds RelayInterval{100};

/// At some 13 bytes each they fit one datagram.
constexpr std::size_t PlacementsPerMessage = 80;

/// Changes within this time go out together.
constexpr milliseconds PublishDelay{40};

/// The largest datagram that crosses a link in one piece.
constexpr std::size_t MostDatagramBytes = 1400;

constexpr milliseconds StoreTimeout{1000};

/// Until the store is asked again after a failure.
constexpr milliseconds RetryPause{1500};

/// Routers that start together register in this time, so that the list that each reads afterwards
/// holds most of them.
constexpr milliseconds RegistrationTime{1500};

asio::ip::udp::endpoint parseDatagramAddress(const std::string &text)
{
    const auto address = parseSocketAddress(text);
    return {address.address(), address.port()};
}

} // namespace

PeerExchange::PeerExchange(ForwardingContext &context, AsyncStore &store, Learned learned,
                           NewsLearned newsLearned, PlacementLearned placementLearned)
    : m_context(context)
    , m_store(store)
    , m_learned(std::move(learned))
    , m_newsLearned(std::move(newsLearned))
    , m_placementLearned(std::move(placementLearned))
    , m_socket(context.loop)
    , m_incarnation(randomIncarnation())
    , m_bytesSent(context.metrics.counter("almondmill_peer_bytes_sent_total"))
    , m_ring{context.settings.name}
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
    asio::co_spawn(m_context.loop, relayPlacements(), asio::detached);
}

void PeerExchange::announce()
{
    const std::string bytes = encodePeerMessage(describe(std::chrono::steady_clock::now()));
    for (const auto &[name, address] : m_peers)
        sendTo(address, bytes);
}

void PeerExchange::publish(std::optional<StoreNews::Registrations> registrations)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const auto table = m_context.table.snapshot();
    StoreNews news;
    news.origin = m_context.settings.name;
    news.incarnation = m_incarnation;
    news.sequence = ++m_sequence;
    news.configuration = table ? table->version() : 0;
    news.weights = describeWeights(now);
    news.loading = describeLoading(now);
    news.registrations = std::move(registrations);
    passOn(news.origin, encodeStoreNews(news));
}

void PeerExchange::publishSoon()
{
    if (m_publishesSoon)
        return;
    m_publishesSoon = true;
    asio::co_spawn(m_context.loop, publishLater(), asio::detached);
}

asio::awaitable<void> PeerExchange::publishLater()
{
    co_await sleepFor(m_context.loop, PublishDelay);
    m_publishesSoon = false;
    publish(std::nullopt);
}

asio::awaitable<void> PeerExchange::findPeers()
{
    while (!co_await registerSelf())
        co_await sleepFor(m_context.loop, RetryPause);
    co_await sleepFor(m_context.loop, RegistrationTime);
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
        co_await sleepFor(m_context.loop, RetryPause);
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
        co_await sleepFor(m_context.loop, TellInterval);
        const SteadyTime now = std::chrono::steady_clock::now();
        for (const auto &[id, view] : m_context.endpoints.all())
            view->averageLoad(now);
        m_context.peers.refresh(now, m_peers.size());
        m_context.repeats.setRouters(static_cast<std::uint32_t>(m_peers.size() + 1));
        if (m_order.empty())
            continue;
        const std::string bytes = encodePeerMessage(describe(now));
        for (std::size_t sent = 0; sent < std::min(PeersPerRound, m_order.size()); ++sent) {
            m_next = (m_next + 1) % m_order.size();
            sendTo(m_peers[m_order[m_next]], bytes);
        }
    }
}

asio::awaitable<void> PeerExchange::relayPlacements()
{
    unsigned direction = 0;
    for (;;) {
        co_await sleepFor(m_context.loop, RelayInterval);
        const unsigned directions = PlacementRelay::directionCount(m_ring.size());
        if (directions == 0)
            continue;
        direction = (direction + 1) % directions;
        relayInDirection(direction);
    }
}

void PeerExchange::relayInDirection(unsigned direction)
{
    const auto placements = m_context.placements.take(direction, PlacementsPerMessage);
    if (placements.empty())
        return;
    const auto self = std::lower_bound(m_ring.begin(), m_ring.end(), m_context.settings.name);
    const auto place = static_cast<std::size_t>(self - m_ring.begin());
    const std::string &target = m_ring[PlacementRelay::target(place, direction, m_ring.size())];
    const auto peer = m_peers.find(target);
    if (peer != m_peers.end())
        sendTo(peer->second, encodePlacements(placements));
}

void PeerExchange::take(std::string_view bytes, const Address &from)
{
    const auto message = decodePeerMessage(bytes);
    if (!message) {
        if (const auto news = decodeStoreNews(bytes)) {
            takeNews(*news, bytes);
            return;
        }
        if (const auto placements = decodePlacements(bytes)) {
            takePlacements(*placements);
            return;
        }
        m_context.metrics.counter("almondmill_peer_messages_unreadable_total").add();
        return;
    }
    addPeer(message->sender, from);
    if (m_context.peers.learn(*message, std::chrono::steady_clock::now()))
        m_learned(*message);
}

void PeerExchange::takeNews(const StoreNews &news, std::string_view bytes)
{
    NewsPosition &last = m_news[news.origin];
    const bool sameLife = last.incarnation == news.incarnation;
    if (news.origin == m_context.settings.name || (sameLife && news.sequence <= last.sequence))
        return;
    last = {news.incarnation, news.sequence};
    passOn(news.origin, bytes);
    m_context.peers.learnLoading(news.origin, news.loading, std::chrono::steady_clock::now());
    m_newsLearned(news);
}

void PeerExchange::takePlacements(const std::vector<RelayedPlacement> &placements)
{
    for (const RelayedPlacement &relayed : placements) {
        m_context.placements.relay(relayed);
        m_placementLearned(relayed.placement);
    }
}

void PeerExchange::passOn(const std::string &origin, std::string_view bytes)
{
    for (const std::string &child : newsChildren(origin, m_context.settings.name, m_order)) {
        const auto peer = m_peers.find(child);
        if (peer != m_peers.end())
            sendTo(peer->second, bytes);
    }
}

void PeerExchange::addPeer(const std::string &name, const Address &address)
{
    if (name == m_context.settings.name)
        return;
    const auto [place, isNew] = m_peers.try_emplace(name);
    place->second = address;
    if (!isNew)
        return;
    m_order.push_back(name);
    m_ring.insert(std::lower_bound(m_ring.begin(), m_ring.end(), name), name);
}

void PeerExchange::sendTo(const Address &address, std::string_view bytes)
{
    m_bytesSent.add(bytes.size());
    boost::system::error_code ignored; // A lost message is made good by the next.
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), address, 0, ignored);
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
    message.weights = describeWeights(now);
    message.loading = describeLoading(now);
    for (const auto &[id, view] : m_context.endpoints.all()) {
        const EndpointLoad load = view->averageLoad(now);
        if (load.openRequests >= 0.1 || load.unreadTokens >= 1)
            message.loads.push_back({shortHash(id), load});
    }
    return message;
}

std::vector<PeerMessage::Weights> PeerExchange::describeWeights(SteadyTime now) const
{
    std::vector<PeerMessage::Weights> weights;
    for (const WeightsTarget &target : m_context.weights.all()) {
        // Older versions go with it: each has its own bound.
        for (const auto &[version, since] : m_context.weights.named(target.model))
            weights.push_back({{target.model, version},
                               std::chrono::duration_cast<milliseconds>(now - since)});
    }
    return weights;
}

std::vector<PeerMessage::Loading> PeerExchange::describeLoading(SteadyTime now) const
{
    std::vector<PeerMessage::Loading> loading;
    for (const auto &[id, view] : m_context.endpoints.all()) {
        const auto timeLeft = std::chrono::duration_cast<milliseconds>(view->loadingUntil() - now);
        if (timeLeft.count() > 0)
            loading.push_back({shortHash(id), timeLeft});
    }
    return loading;
}

} // namespace almondmill
