#include "almondmill/peers/peerexchange.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/peerloads.h"
#include "almondmill/forward/peerperformance.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/http/supervisedtask.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/randomid.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/peers/accountquotas.h"
#include "almondmill/peers/broadcasttree.h"
#include "almondmill/peers/datagramaddress.h"
#include "almondmill/peers/pacemessage.h"
#include "almondmill/peers/partevidencemessage.h"
#include "almondmill/peers/partlookupmessages.h"
#include "almondmill/peers/permitmessages.h"
#include "almondmill/peers/placementbroadcastqueue.h"
#include "almondmill/peers/ratelimitmessage.h"
#include "almondmill/peers/registeredpeer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Interval between two rounds of state messages.
constexpr milliseconds StateInterval{250};

/// Peers that receive a state message in one round. In a large fleet, one keeps messages of about
/// 200 bytes at half of the 2 KB per second that a router may use for control traffic.
constexpr std::size_t PeersPerRound = 3;
constexpr std::size_t PeersPerRoundInLargeFleet = 1;

/// Interval between two sends of placements, each in the next direction of the ring. A fleet of 121
/// routers has seven directions, so a placement reaches all of them within 0.7 to 1.4 s.
constexpr milliseconds PlacementInterval{100};

/// Placements of about 13 bytes each that fit into one datagram.
constexpr std::size_t PlacementsPerMessage = 80;

/// Changes within this time are sent in one update.
constexpr milliseconds PublishDelay{40};

/// Evidence of one crash is sent together.
constexpr milliseconds EvidenceDelay{20};

/// Parts and crashes of up to 17 bytes each that fit into one datagram.
constexpr std::size_t EvidencePerMessage = 75;

/// Parts and crashes that are repeated to the peers of a round.
constexpr std::size_t EvidencePerRound = 16;

/// In a large fleet evidence is repeated in one of so many rounds. A router still gets one from
/// some peer each second.
constexpr std::uint64_t RoundsPerRepeatInLargeFleet = 4;

/// Endpoints in one state message, so that it fits into a datagram; those with the least load are
/// left out.
constexpr std::size_t MaxLoadsPerMessage = 60;

/// Fewer open requests and samples of a service are not reported.
constexpr double MinReportedRequests = 0.1;
constexpr double MinReportedSamples = 0.1;

/// Services of up to 50 bytes each in one state message.
constexpr std::size_t MaxServicesPerMessage = 6;

/// Endpoints of up to 23 bytes each that are reported as slower or faster than others.
constexpr std::size_t MaxSpeedsPerMessage = 6;

/// Datagrams up to this size are not fragmented on an Ethernet link.
constexpr std::size_t MaxDatagramBytes = 1400;

void keepHighestLoads(std::vector<PeerMessage::Load> &loads)
{
    if (loads.size() <= MaxLoadsPerMessage)
        return;
    std::nth_element(loads.begin(), loads.begin() + MaxLoadsPerMessage, loads.end(),
                     [](const PeerMessage::Load &first, const PeerMessage::Load &second) {
                         return first.load.openRequests > second.load.openRequests;
                     });
    loads.resize(MaxLoadsPerMessage);
}

} // namespace

PeerExchange::PeerExchange(ForwardingContext &context, AsyncStore &store, TrafficSums &traffic,
                           MessageHandler onMessage, StoreUpdateHandler onStoreUpdate,
                           PlacementHandler onPlacement)
    : m_context(context)
    , m_discovery(context, store,
                  [this](const std::vector<RegisteredPeer> &peers) { addPeers(peers); })
    , m_onMessage(std::move(onMessage))
    , m_onStoreUpdate(std::move(onStoreUpdate))
    , m_onPlacement(std::move(onPlacement))
    , m_socket(context.loop)
    , m_incarnation(randomIncarnation())
    , m_rateLimits(context.loop, context.rateLimits, context.settings.name, m_incarnation,
                   [this](const std::string &origin, std::string_view bytes) {
                       forwardToChildren(origin, bytes);
                   })
    , m_traffic(context.settings.dataCentre, context.metrics, traffic)
    , m_paces(context, m_incarnation,
              [this](const std::string &origin, std::string_view bytes) {
                  forwardToChildren(origin, bytes);
              })
    , m_ring{context.settings.name}
{}

void PeerExchange::start()
{
    const Address own = parseDatagramAddress(m_context.settings.peersListen);
    m_socket.open(own.protocol());
    m_socket.bind(own);
    m_socket.non_blocking(true);
    m_context.partLookups.start(
            m_context.settings.name,
            [this](const std::string &router, std::string_view bytes) { sendTo(router, bytes); });
    m_context.sendPermits.start(
            [this](const std::string &router, std::string_view bytes) { sendTo(router, bytes); });
    m_context.accountQuotas->start(
            [this](const std::string &router, std::string_view bytes) { sendTo(router, bytes); },
            [this] { m_discovery.listEarly(); });
    m_context.streamOrigins.start(
            m_context.settings.name,
            [this](const std::string &router, std::string_view bytes) { sendTo(router, bytes); });
    m_rateLimits.start();
    m_context.routerPlaces.setUnknown();
    m_paces.start();
    m_context.partBreakers.start([this] { publishEvidenceSoon(); });
    startSupervised(m_context.loop, "peers.discover", [this] { return m_discovery.run(); });
    startSupervised(m_context.loop, "peers.receive", [this] { return receive(); });
    startSupervised(m_context.loop, "peers.state", [this] { return sendState(); });
    startSupervised(m_context.loop, "peers.placements", [this] { return forwardPlacements(); });
}

void PeerExchange::announce()
{
    const std::string bytes = encodePeerMessage(describeState(std::chrono::steady_clock::now()));
    for (const auto &[name, address] : m_peers)
        sendTo(address, bytes);
}

void PeerExchange::publish(std::optional<StoreUpdate::Registrations> registrations)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const auto table = m_context.table.snapshot();
    StoreUpdate update;
    update.origin = m_context.settings.name;
    update.incarnation = m_incarnation;
    update.sequence = ++m_sequence;
    update.configuration = table ? table->version() : 0;
    // The state messages of all routers repeat the versions; updates tell them when one changed.
    if (!registrations)
        update.weights = describeWeights(now);
    update.loading = describeLoading(now);
    update.registrations = std::move(registrations);
    forwardToChildren(update.origin, encodeStoreUpdate(update));
}

void PeerExchange::publishSoon()
{
    if (m_publishScheduled)
        return;
    m_publishScheduled = true;
    asio::co_spawn(m_context.loop, publishAfterDelay(), asio::detached);
}

asio::awaitable<void> PeerExchange::publishAfterDelay()
{
    co_await sleepFor(m_context.loop, PublishDelay);
    m_publishScheduled = false;
    publish(std::nullopt);
}

void PeerExchange::addPeers(const std::vector<RegisteredPeer> &peers)
{
    m_context.sendPermits.issuers().recordList();
    const std::size_t before = m_peers.size();
    for (const RegisteredPeer &peer : peers) {
        m_traffic.learnDataCentre(peer.address, peer.dataCentre);
        addPeer(peer.name, peer.address);
    }
    m_context.routerPlaces.setKnown();
    EventLine("peers.found").add("routers", m_peers.size()).add("before", before);
    if (m_peers.size() > before)
        announce();
}

asio::awaitable<void> PeerExchange::receive()
{
    std::array<char, MaxDatagramBytes> bytes;
    for (;;) {
        Address from;
        boost::system::error_code error;
        const std::size_t got = co_await m_socket.async_receive_from(
                asio::buffer(bytes), from, asio::redirect_error(asio::use_awaitable, error));
        // An error reports that an earlier datagram could not be delivered; the socket stays
        // usable.
        if (!error)
            handleDatagram({bytes.data(), got}, from);
    }
}

asio::awaitable<void> PeerExchange::sendState()
{
    for (std::uint64_t round = 0;; ++round) {
        co_await sleepFor(m_context.loop, StateInterval);
        m_toldInRound = 0;
        const SteadyTime now = std::chrono::steady_clock::now();
        for (const auto &[id, view] : m_context.endpoints.all())
            view->averageLoad(now);
        m_context.peers.refresh(now, m_peers.size());
        estimatePeerLoads(m_context.endpoints, m_context.peers);
        m_context.openRequests.updateAverages(now);
        applyPeerPerformance(m_context.endpoints, m_context.peers, m_context.table.snapshot().get(),
                             m_context.performances);
        m_context.retryBudgets.setRouters(static_cast<std::uint32_t>(m_peers.size() + 1));
        m_context.partBreakers.refresh(now);
        publishEvidence();
        m_context.streamOrigins.reportOpen(bootTime());
        if (m_roundRobin.empty())
            continue;
        const std::string bytes = encodePeerMessage(describeState(now));
        const bool isLarge = m_context.partLookups.usesOwners();
        const bool repeats = !isLarge || round % RoundsPerRepeatInLargeFleet == 0;
        const std::string evidence = repeats ? describeRepeats(now) : std::string();
        const std::string limits =
                repeats ? m_rateLimits.describeRepeats(bootTime()) : std::string();
        const std::size_t receivers = peersPerRound();
        for (std::size_t sent = 0; sent < std::min(receivers, m_roundRobin.size()); ++sent) {
            m_nextPeer = (m_nextPeer + 1) % m_roundRobin.size();
            const Address &peer = m_peers[m_roundRobin[m_nextPeer]];
            sendTo(peer, bytes);
            if (!evidence.empty())
                sendTo(peer, evidence);
            if (!limits.empty())
                sendTo(peer, limits);
        }
    }
}

asio::awaitable<void> PeerExchange::forwardPlacements()
{
    unsigned direction = 0;
    for (;;) {
        co_await sleepFor(m_context.loop, PlacementInterval);
        const unsigned directions = PlacementBroadcastQueue::directionCount(m_ring.size());
        if (directions == 0)
            continue;
        direction = (direction + 1) % directions;
        forwardInDirection(direction);
    }
}

void PeerExchange::forwardInDirection(unsigned direction)
{
    const auto placements = m_context.placements.take(direction, PlacementsPerMessage);
    if (placements.empty())
        return;
    const auto self = std::lower_bound(m_ring.begin(), m_ring.end(), m_context.settings.name);
    const auto position = static_cast<std::size_t>(self - m_ring.begin());
    const std::string &target =
            m_ring[PlacementBroadcastQueue::target(position, direction, m_ring.size())];
    sendTo(target, encodePlacements(placements));
}

void PeerExchange::handleDatagram(std::string_view bytes, const Address &from)
{
    recordTraffic(PeerTraffic::Direction::Received, bytes, from);
    const SteadyTime now = std::chrono::steady_clock::now();
    if (const auto message = decodePeerMessage(bytes))
        handleMessage(*message, from, now);
    else if (const auto update = decodeStoreUpdate(bytes))
        handleStoreUpdate(*update, bytes, now);
    else if (const auto placements = decodePlacements(bytes))
        handlePlacements(*placements);
    else if (const auto request = decodePartLookupRequest(bytes))
        sendTo(from, encodePartLookup(m_context.partLookups.answer(*request), now));
    else if (const auto reply = decodePartLookupReply(bytes, now))
        m_context.partLookups.handleReply(*reply, now);
    else if (const auto evidence = decodePartEvidence(bytes, now))
        handlePartEvidence(*evidence, bytes, now);
    else
        handlePermitDatagram(bytes, from);
}

void PeerExchange::handlePermitDatagram(std::string_view bytes, const Address &from)
{
    const ClockTimes now = ClockTimes::now();
    if (const auto limits = decodeRateLimits(bytes, now.boot))
        m_rateLimits.handle(*limits, bytes);
    else if (const auto paces = decodePaces(bytes))
        m_paces.handle(*paces, bytes, now.boot);
    else if (const auto report = decodeStreamOriginReport(bytes))
        m_context.streamOrigins.handleReport(*report, now.boot);
    else if (const auto question = decodeStreamOriginQuestion(bytes))
        sendTo(from, encodeStreamOrigin(m_context.streamOrigins.answer(*question, now.boot)));
    else if (const auto origin = decodeStreamOriginReply(bytes))
        m_context.streamOrigins.handleReply(*origin);
    else if (const auto request = decodePermitRequest(bytes, now.boot))
        sendTo(from, encodePermit(m_context.sendPermits.answer(*request, now), now.boot));
    else if (const auto reply = decodePermitReply(bytes, now.boot))
        handlePermitReply(*reply, from);
    else if (const auto returned = decodePermitReturn(bytes))
        m_context.sendPermits.handleReturn(*returned);
    else if (!m_context.accountQuotas->handleDatagram(
                     bytes, [&](const std::string &answer) { sendTo(from, answer); }))
        m_context.metrics.counter("almondmill_peer_messages_unreadable_total").add();
}

void PeerExchange::handlePermitReply(const PermitReply &reply, const Address &issuer)
{
    const bool isAwaited = m_context.sendPermits.handleReply(reply);
    if (!isAwaited && std::holds_alternative<PermitGranted>(reply.result))
        sendTo(issuer, encodePermit(PermitReturn{reply.known.endpoint}));
}

void PeerExchange::handleMessage(const PeerMessage &message, const Address &from, SteadyTime now)
{
    addPeer(message.sender, from);
    m_context.sendPermits.recordMessage(message.sender, message.leaving, now);
    m_context.streamOrigins.recordMessage(message.sender, message.leaving);
    if (isNewIncarnation(message))
        informNewRouter(from, now);
    if (m_context.peers.applyMessage(message, now))
        m_onMessage(message);
}

bool PeerExchange::isNewIncarnation(const PeerMessage &message)
{
    const auto [last, isNew] = m_incarnations.try_emplace(message.sender, message.incarnation);
    return std::exchange(last->second, message.incarnation) != message.incarnation || isNew;
}

void PeerExchange::informNewRouter(const Address &router, SteadyTime now)
{
    // When many routers start at once, the rounds and the other routers tell the rest of them.
    if (m_toldInRound >= peersPerRound())
        return;
    const std::string evidence = describeRepeats(now);
    const std::string limits = m_rateLimits.describeRepeats(bootTime());
    if (evidence.empty() && limits.empty())
        return;
    ++m_toldInRound;
    if (!evidence.empty())
        sendTo(router, evidence);
    if (!limits.empty())
        sendTo(router, limits);
}

std::size_t PeerExchange::peersPerRound() const
{
    return m_context.partLookups.usesOwners() ? PeersPerRoundInLargeFleet : PeersPerRound;
}

void PeerExchange::handleStoreUpdate(const StoreUpdate &update, std::string_view bytes,
                                     SteadyTime now)
{
    if (update.origin == m_context.settings.name
        || !m_lastUpdates.record(update.origin, update.incarnation, update.sequence))
        return;
    forwardToChildren(update.origin, bytes);
    m_context.peers.applyLoading(update.origin, update.loading, now);
    m_onStoreUpdate(update);
}

void PeerExchange::handlePartEvidence(const PartEvidenceMessage &message, std::string_view bytes,
                                      SteadyTime now)
{
    if (message.origin == m_context.settings.name)
        return;
    const bool isBroadcast = !message.origin.empty();
    if (isBroadcast
        && !m_lastEvidence.record(message.origin, message.incarnation, message.sequence))
        return;
    if (isBroadcast)
        forwardToChildren(message.origin, bytes);
    m_context.partBreakers.merge(message.evidence,
                                 isBroadcast ? PartBreakers::Audience::AllRouters
                                             : PartBreakers::Audience::ThisRouter,
                                 now);
}

void PeerExchange::publishEvidenceSoon()
{
    if (m_evidenceScheduled)
        return;
    m_evidenceScheduled = true;
    asio::co_spawn(m_context.loop, publishEvidenceAfterDelay(), asio::detached);
}

asio::awaitable<void> PeerExchange::publishEvidenceAfterDelay()
{
    co_await sleepFor(m_context.loop, EvidenceDelay);
    m_evidenceScheduled = false;
    publishEvidence();
}

void PeerExchange::publishEvidence()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    PartEvidenceMessage message;
    message.evidence = m_context.partBreakers.takeUnsent(EvidencePerMessage, now);
    if (message.evidence.empty())
        return;
    message.origin = m_context.settings.name;
    message.incarnation = m_incarnation;
    message.sequence = ++m_sequence;
    forwardToChildren(message.origin, encodePartEvidence(message, now));
    if (m_context.partBreakers.hasUnsent(now))
        publishEvidenceSoon();
}

std::string PeerExchange::describeRepeats(SteadyTime now)
{
    PartEvidenceMessage message;
    message.evidence = m_context.partBreakers.takeRepeats(EvidencePerRound);
    return message.evidence.empty() ? std::string() : encodePartEvidence(message, now);
}

void PeerExchange::handlePlacements(const std::vector<BroadcastPlacement> &placements)
{
    for (const BroadcastPlacement &entry : placements) {
        m_context.placements.enqueueReceived(entry);
        m_onPlacement(entry.placement);
    }
}

void PeerExchange::forwardToChildren(const std::string &origin, std::string_view bytes)
{
    for (const std::string &child :
         broadcastTreeChildren(origin, m_context.settings.name, m_roundRobin))
        sendTo(child, bytes);
}

void PeerExchange::addPeer(const std::string &name, const Address &address)
{
    if (name == m_context.settings.name)
        return;
    const auto [peer, isNew] = m_peers.try_emplace(name);
    peer->second = address;
    if (!isNew)
        return;
    m_roundRobin.push_back(name);
    m_ring.insert(std::lower_bound(m_ring.begin(), m_ring.end(), name), name);
    m_context.partLookups.addRouter(name);
    m_context.partBreakers.addRouter(name);
    m_context.streamOrigins.addRouter(name);
    m_context.sendPermits.addRouter(name);
    m_context.routerPlaces.addRouter(name);
}

void PeerExchange::sendTo(const std::string &router, std::string_view bytes)
{
    const auto peer = m_peers.find(router);
    if (peer != m_peers.end())
        sendTo(peer->second, bytes);
}

void PeerExchange::sendTo(const Address &address, std::string_view bytes)
{
    recordTraffic(PeerTraffic::Direction::Sent, bytes, address);
    // A failed send is treated like a lost datagram. Each state message contains the full state,
    // so the next one replaces the lost one.
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), address, 0, ignored);
}

void PeerExchange::recordTraffic(PeerTraffic::Direction direction, std::string_view bytes,
                                 const Address &peer)
{
    PeerMessageKind kind = peekKind(bytes);
    if (kind == PeerMessageKind::Placement && m_context.partLookups.usesOwners())
        kind = PeerMessageKind::PartReport;
    m_traffic.record(direction, kind, bytes.size(), peer);
}

PeerMessage PeerExchange::describeState(SteadyTime now)
{
    PeerMessage message;
    message.sender = m_context.settings.name;
    message.incarnation = m_incarnation;
    message.sequence = ++m_sequence;
    message.leaving = m_context.isDraining();
    const auto table = m_context.table.snapshot();
    message.configuration = table ? table->version() : 0;
    message.weights = describeWeights(now);
    message.loading = describeLoading(now);
    for (const auto &[id, view] : m_context.endpoints.all()) {
        const EndpointLoad load = view->averageLoad(now);
        if (load.openRequests >= 0.1 || load.pendingPrefillTokens >= 1)
            message.loads.push_back({shortHash(id), load});
    }
    keepHighestLoads(message.loads);
    message.services = describeServices(now);
    message.speeds = describeSpeeds(now);
    return message;
}

std::vector<PeerMessage::Service> PeerExchange::describeServices(SteadyTime now) const
{
    std::vector<PeerMessage::Service> services;
    for (const auto &[name, performance] : m_context.performances.all()) {
        if (services.size() == MaxServicesPerMessage)
            break;
        PeerMessage::Service entry{shortHash(name), performance.ownSamples(now), {}};
        const auto open = m_context.openRequests.all().find(name);
        if (open != m_context.openRequests.all().end())
            entry.openByLevel.assign(open->second.average.begin(), open->second.average.end());
        while (!entry.openByLevel.empty() && entry.openByLevel.back() < MinReportedRequests)
            entry.openByLevel.pop_back();
        const bool hasSamples = entry.samples.residenceMs.samples >= MinReportedSamples;
        if (hasSamples || !entry.openByLevel.empty())
            services.push_back(std::move(entry));
    }
    return services;
}

std::vector<PeerMessage::EndpointSpeed> PeerExchange::describeSpeeds(SteadyTime now) const
{
    std::vector<PeerMessage::EndpointSpeed> speeds;
    for (const auto &[id, view] : m_context.endpoints.all()) {
        const auto samples = view->performance().deviation(now);
        if (samples)
            speeds.push_back({shortHash(id), *samples});
    }
    std::sort(speeds.begin(), speeds.end(), [](const auto &first, const auto &second) {
        return first.samples.residenceRatio.samples > second.samples.residenceRatio.samples;
    });
    speeds.resize(std::min(speeds.size(), MaxSpeedsPerMessage));
    return speeds;
}

std::vector<PeerMessage::Weights> PeerExchange::describeWeights(SteadyTime now) const
{
    std::vector<PeerMessage::Weights> weights;
    for (const WeightsTarget &target : m_context.weights.all()) {
        // Older versions are included, since each has its own deadline.
        for (const auto &[version, since] : m_context.weights.knownVersions(target.model))
            weights.push_back({{target.model, version},
                               std::chrono::duration_cast<milliseconds>(now - since)});
    }
    return weights;
}

std::vector<PeerMessage::LoadingEngine> PeerExchange::describeLoading(SteadyTime now) const
{
    std::vector<PeerMessage::LoadingEngine> loading;
    for (const auto &[id, view] : m_context.endpoints.all()) {
        const auto timeLeft = std::chrono::duration_cast<milliseconds>(view->loadingUntil() - now);
        if (timeLeft.count() > 0)
            loading.push_back({shortHash(id), timeLeft});
    }
    return loading;
}

} // namespace almondmill
