#include "almondmill/config/configurationsync.h"

#include "almondmill/config/parallel.h"
#include "almondmill/config/watchers.h"
#include "almondmill/fleet/configurationpeers.h"
#include "almondmill/fleet/memberview.h"
#include "almondmill/kernel/node.h"
#include "almondmill/store/objectstore.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds WatchTimeout{1000};
constexpr milliseconds WatchRetryInterval{1000};
constexpr milliseconds FirstReadRetryInterval{500};
constexpr milliseconds IdleStepInterval{500};
constexpr milliseconds PeerStepInterval{200};
constexpr milliseconds PeerTimeout{500};
constexpr milliseconds PeriodicReadIntervalPerMember{250}; ///< Four reads/s across the fleet.
constexpr milliseconds MinPeriodicReadInterval{2000};
constexpr std::size_t MaxBootstrapPeers = 3;
constexpr std::size_t MaxParallelPushes = 4;
constexpr std::size_t MaxPartsReadWithoutDelay = 4;   ///< Read by any router without delay.
constexpr std::size_t FleetPartReadsPerSecond = 1000; ///< Rate when all routers start together.

std::string versionText(std::uint64_t version)
{
    return "version " + std::to_string(version);
}

} // namespace

ConfigurationSync::ConfigurationSync(Node &node, std::uint64_t seed)
    : m_node(node)
    , m_inForce(node)
    , m_store(*node.store, node.settings.platformTimeout)
    , m_random(seed)
{}

bool ConfigurationSync::isWatcher() const
{
    if (!m_node.members)
        return true;
    const auto watchers = watchersOf(m_node.settings.dataCentre, members());
    return std::find(watchers.begin(), watchers.end(), m_node.members->self()) != watchers.end();
}

void ConfigurationSync::dump(nlohmann::json &object, SteadyTime now) const
{
    m_inForce.dump(object, now);
    object["watcher"] = isWatcher();
    const std::lock_guard<std::mutex> lock(m_mutex);
    object["platform_answer"] = m_storeAnswer;
    object["peers_answer"] = m_peerAnswer;
}

milliseconds ConfigurationSync::storeStep(SteadyTime now)
{
    if (m_inForce.version() == 0)
        return readFirst(now);
    if (now >= m_nextPeriodicRead) {
        schedulePeriodicRead(now);
        readStore(now);
    }
    if (!isWatcher())
        return IdleStepInterval;
    watchRoot(now);
    return m_watchFailed ? jittered(WatchRetryInterval) : milliseconds(0);
}

milliseconds ConfigurationSync::peerStep(SteadyTime now)
{
    if (m_node.configurationPeers) {
        if (m_inForce.version() == 0)
            pullFrom(bootstrapPeers(), now);
        else
            pullFrom(newerPeers(), now);
        pushUpdate();
    }
    return PeerStepInterval;
}

std::uint64_t ConfigurationSync::acceptPush(const ConfigurationOffer &offer, SteadyTime now)
{
    recordAcceptance(m_inForce.accept(offer, "a push", now), false);
    return m_inForce.version();
}

bool ConfigurationSync::recordPeerVersion(const std::string &peer, std::uint64_t version)
{
    if (version <= m_inForce.version())
        return false;
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (version > m_hint.version)
        m_hint = {peer, version};
    return true;
}

std::vector<Member> ConfigurationSync::members() const
{
    return m_node.members ? *m_node.members->members() : std::vector<Member>();
}

std::size_t ConfigurationSync::fleetSize() const
{
    const std::size_t known = m_node.members ? m_node.members->members()->size() : 1;
    return std::max({known, m_node.settings.seeds.size(), std::size_t{1}});
}

/// Returns a random delay between 0.5 and 1.5 times `mean`.
milliseconds ConfigurationSync::jittered(milliseconds mean)
{
    return uniform(mean / 2, mean * 3 / 2);
}

milliseconds ConfigurationSync::uniform(milliseconds minimum, milliseconds maximum)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::uniform_int_distribution<milliseconds::rep> distribution(minimum.count(), maximum.count());
    return milliseconds(distribution(m_random));
}

/// Schedules the next read after a random delay between zero and twice the mean interval, so that
/// the first reads of routers that started together are spread out as well.
void ConfigurationSync::schedulePeriodicRead(SteadyTime now)
{
    const auto mean = PeriodicReadIntervalPerMember * static_cast<milliseconds::rep>(fleetSize());
    m_nextPeriodicRead =
            now + uniform(milliseconds(0), std::max(MinPeriodicReadInterval, mean) * 2);
}

milliseconds ConfigurationSync::readFirst(SteadyTime now)
{
    schedulePeriodicRead(now);
    if (readStore(now))
        return milliseconds(0);
    return jittered(FirstReadRetryInterval);
}

void ConfigurationSync::watchRoot(SteadyTime now)
{
    const auto result = m_node.store->watch(RootName, m_watchRevision, WatchTimeout);
    if (const auto *unavailable = std::get_if<Unavailable>(&result)) {
        m_watchFailed = true;
        recordStoreAnswer(unavailable->reason);
        return;
    }
    const auto &changes = std::get<ObjectChanges>(result);
    const bool revisionDecreased = changes.revision < m_watchRevision;
    const bool changed = !changes.names.empty() || revisionDecreased || m_watchFailed;
    m_watchRevision = changes.revision;
    m_watchFailed = changed && !readStore(now) && m_inForce.refusedVersion() == 0;
}

/// Reads the root and processes it. Returns whether the store answered and the version in force is
/// at least the stored one.
bool ConfigurationSync::readStore(SteadyTime now)
{
    RootResult result = m_store.readRoot();
    if (const auto *failure = std::get_if<LoadFailure>(&result)) {
        recordStoreAnswer(failure->reason);
        return false;
    }
    if (std::holds_alternative<NoConfiguration>(result)) {
        recordStoreAnswer("no configuration has been submitted yet");
        return false;
    }
    if (const auto *damaged = std::get_if<DamagedRoot>(&result)) {
        recordStoreAnswer(damaged->reason);
        m_inForce.recordDamagedRoot(damaged->reason, damaged->storeVersion);
        return false;
    }
    return processRoot(std::get<StoredRoot>(std::move(result)), now);
}

bool ConfigurationSync::processRoot(StoredRoot stored, SteadyTime now)
{
    const std::uint64_t version = stored.root.version;
    recordStoreAnswer(versionText(version));
    if (version > m_inForce.version()) {
        if (m_inForce.isRefused(version, stored.storeVersion) || delaysPartReads(stored.root, now))
            return false;
        if (const auto failure = m_store.fetchParts(stored.root, m_inForce.cache())) {
            recordStoreAnswer(failure->reason);
            return false;
        }
    }
    const ConfigurationOffer offer{version, stored.storeVersion, std::move(stored.text), {}};
    const Acceptance acceptance = m_inForce.accept(offer, "the platform", now);
    recordAcceptance(acceptance, true);
    return acceptance == Acceptance::Applied || acceptance == Acceptance::NotNewer;
}

/// Whether the reads of parts are still delayed. The delay spreads the load on the store when the
/// whole fleet starts together and each router lacks many parts. Watchers read without delay; most
/// other routers receive the parts from a watcher's push or a pull before their delay has passed.
bool ConfigurationSync::delaysPartReads(const ConfigurationRoot &root, SteadyTime now)
{
    const std::size_t count = m_inForce.cache().missing(root.parts).size();
    if (count <= MaxPartsReadWithoutDelay || isWatcher())
        return false;
    if (m_partReadTime == SteadyTime{}) {
        const auto mean = fleetSize() * count * 1000 / FleetPartReadsPerSecond / 2;
        m_partReadTime = now + jittered(milliseconds(static_cast<milliseconds::rep>(mean)));
    }
    if (now < m_partReadTime)
        return true;
    m_partReadTime = SteadyTime{};
    return false;
}

void ConfigurationSync::recordStoreAnswer(const std::string &answer)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_storeAnswer = answer;
}

/// Selects up to MaxBootstrapPeers random routers from the live members and the seeds.
std::vector<std::string> ConfigurationSync::bootstrapPeers()
{
    std::vector<std::string> peers;
    for (const Member &member : members())
        peers.push_back(member.address);
    for (const std::string &seed : m_node.settings.seeds) {
        if (std::find(peers.begin(), peers.end(), seed) == peers.end())
            peers.push_back(seed);
    }
    std::erase(peers, m_node.settings.peersListen);
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(std::min(peers.size(), MaxBootstrapPeers));
    return peers;
}

/// Selects one random router that has reported a version newer than the one in force here and than
/// the one refused last. Empty if there is none.
std::vector<std::string> ConfigurationSync::newerPeers()
{
    const std::uint64_t known = std::max(m_inForce.version(), m_inForce.refusedVersion());
    std::vector<std::string> peers;
    for (const Member &member : members()) {
        if (member.configVersion > known)
            peers.push_back(member.address);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_hint.version > known)
        peers.push_back(m_hint.peer);
    m_hint = {};
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(std::min(peers.size(), std::size_t{1}));
    return peers;
}

void ConfigurationSync::pullFrom(const std::vector<std::string> &peers, SteadyTime now)
{
    forEachInParallel(peers, MaxBootstrapPeers, [&](const std::string &peer) { pull(peer, now); });
}

/// Pulls the changes since the version in force here. If parts are still missing, because the size
/// of an offer is bounded, pulls again with the list of cached parts as long as each answer adds
/// parts.
void ConfigurationSync::pull(const std::string &peer, SteadyTime now)
{
    std::uint64_t haveVersion = m_inForce.version();
    std::vector<std::string> haveParts;
    Acceptance acceptance = Acceptance::Incomplete;
    std::string answer = "no answer";
    while (acceptance == Acceptance::Incomplete) {
        const auto offer =
                m_node.configurationPeers->pull(peer, haveVersion, haveParts, PeerTimeout);
        if (!offer)
            break;
        answer = versionText(offer->version);
        if (offer->version == 0)
            break;
        acceptance = m_inForce.accept(*offer, peer, now);
        haveVersion = 0;
        auto known = m_inForce.cache().names();
        if (known.size() <= haveParts.size())
            break;
        haveParts = std::move(known);
    }
    recordAcceptance(acceptance, false);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_peerAnswer = peer + ": " + answer;
}

/// Pushes a newly applied version. A watcher pushes to the members of its data centre that are
/// assigned to it. A router that is not a watcher and has read the version from the store pushes to
/// the watchers of its data centre, and takes over the members of each watcher that does not
/// answer.
void ConfigurationSync::pushUpdate()
{
    if (!m_pushPending.exchange(false) || !m_node.members)
        return;
    const auto all = m_node.members->members();
    const std::string &dataCentre = m_node.settings.dataCentre;
    if (isWatcher()) {
        pushTo(pushTargets(m_node.members->self(), dataCentre, *all));
        return;
    }
    if (!m_appliedFromStore)
        return;
    const auto addresses = watchersOf(dataCentre, *all);
    std::vector<Member> watchers;
    for (const Member &member : *all) {
        if (std::find(addresses.begin(), addresses.end(), member.address) != addresses.end())
            watchers.push_back(member);
    }
    for (const Member &unresponsive : pushTo(watchers))
        pushTo(pushTargets(unresponsive.address, dataCentre, *all));
}

/// Pushes to the receivers that have an older version. Returns those that did not answer.
std::vector<Member> ConfigurationSync::pushTo(std::vector<Member> receivers)
{
    const std::uint64_t version = m_inForce.version();
    std::erase_if(receivers, [&](const Member &member) {
        return member.configVersion >= version || member.address == m_node.settings.peersListen;
    });
    std::mutex mutex;
    std::vector<Member> unresponsive;
    forEachInParallel(receivers, MaxParallelPushes, [&](const Member &member) {
        if (push(member))
            return;
        const std::lock_guard<std::mutex> lock(mutex);
        unresponsive.push_back(member);
    });
    return unresponsive;
}

/// Pushes the changes since the version that the member reported last, or only the newest change if
/// it has reported none. If the answer shows that the member has an even older version, pushes
/// again the changes since that one. Returns whether the member answered.
bool ConfigurationSync::push(const Member &member)
{
    const std::uint64_t version = m_inForce.version();
    const std::uint64_t assumed = member.configVersion != 0 ? member.configVersion : version - 1;
    const auto offer = m_inForce.offer(assumed);
    if (offer.version == 0)
        return true;
    const auto answer = m_node.configurationPeers->push(member.address, offer, PeerTimeout);
    if (answer && *answer < assumed)
        m_node.configurationPeers->push(member.address, m_inForce.offer(*answer), PeerTimeout);
    return answer.has_value();
}

void ConfigurationSync::recordAcceptance(Acceptance acceptance, bool fromStore)
{
    if (acceptance != Acceptance::Applied)
        return;
    m_appliedFromStore = fromStore;
    m_pushPending = true;
}

} // namespace almondmill
