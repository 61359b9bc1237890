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

constexpr milliseconds WatchWait{1000};
constexpr milliseconds WatchRetry{1000};
constexpr milliseconds FirstReadRetry{500};
constexpr milliseconds IdleStep{500};
constexpr milliseconds PeerStepInterval{200};
constexpr milliseconds PeerTimeout{500};
constexpr milliseconds OwnReadPerMember{250}; ///< The whole fleet reads four times a second.
constexpr milliseconds LeastOwnRead{2000};
constexpr std::size_t MostFirstPeers = 3;
constexpr std::size_t MostParallelPushes = 4;
constexpr std::size_t FewParts = 4;              ///< So many are read at once, whoever asks.
constexpr std::size_t PartReadsPerSecond = 1000; ///< For the whole fleet, when all start at once.

std::string found(std::uint64_t version)
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
    if (now >= m_nextOwnRead) {
        setNextOwnRead(now);
        readStore(now);
    }
    if (!isWatcher())
        return IdleStep;
    watchRoot(now);
    return m_watchFailed ? jittered(WatchRetry) : milliseconds(0);
}

milliseconds ConfigurationSync::peerStep(SteadyTime now)
{
    if (m_node.configurationPeers) {
        if (m_inForce.version() == 0)
            pullFrom(firstPeers(), now);
        else
            pullFrom(newerPeers(), now);
        pushNews();
    }
    return PeerStepInterval;
}

std::uint64_t ConfigurationSync::acceptPush(const ConfigurationOffer &offer, SteadyTime now)
{
    noteAcceptance(m_inForce.accept(offer, "a push", now), false);
    return m_inForce.version();
}

bool ConfigurationSync::heardVersion(const std::string &peer, std::uint64_t version)
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

/// From half of `mean` to one and a half.
milliseconds ConfigurationSync::jittered(milliseconds mean)
{
    return uniform(mean / 2, mean * 3 / 2);
}

milliseconds ConfigurationSync::uniform(milliseconds least, milliseconds most)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::uniform_int_distribution<milliseconds::rep> spread(least.count(), most.count());
    return milliseconds(spread(m_random));
}

/// From zero to twice the mean, so that the reads of routers that started together spread at once.
void ConfigurationSync::setNextOwnRead(SteadyTime now)
{
    const auto mean = OwnReadPerMember * static_cast<milliseconds::rep>(fleetSize());
    m_nextOwnRead = now + uniform(milliseconds(0), std::max(LeastOwnRead, mean) * 2);
}

milliseconds ConfigurationSync::readFirst(SteadyTime now)
{
    setNextOwnRead(now);
    if (readStore(now))
        return milliseconds(0);
    return jittered(FirstReadRetry);
}

void ConfigurationSync::watchRoot(SteadyTime now)
{
    const auto result = m_node.store->watch(RootName, m_watchRevision, WatchWait);
    if (const auto *unavailable = std::get_if<Unavailable>(&result)) {
        m_watchFailed = true;
        noteStore(unavailable->reason);
        return;
    }
    const auto &changes = std::get<ObjectChanges>(result);
    const bool isBehind = changes.revision < m_watchRevision;
    const bool changed = !changes.names.empty() || isBehind || m_watchFailed;
    m_watchRevision = changes.revision;
    m_watchFailed = changed && !readStore(now) && m_inForce.refusedVersion() == 0;
}

/// Whether the store answered and nothing newer is left to fetch.
bool ConfigurationSync::readStore(SteadyTime now)
{
    RootResult result = m_store.readRoot();
    if (const auto *failure = std::get_if<LoadFailure>(&result)) {
        noteStore(failure->reason);
        return false;
    }
    if (std::holds_alternative<NoConfiguration>(result)) {
        noteStore("no configuration was submitted yet");
        return false;
    }
    if (const auto *damaged = std::get_if<DamagedRoot>(&result)) {
        noteStore(damaged->reason);
        m_inForce.noteDamagedRoot(damaged->reason, damaged->storeVersion);
        return false;
    }
    return takeRoot(std::get<StoredRoot>(std::move(result)), now);
}

bool ConfigurationSync::takeRoot(StoredRoot stored, SteadyTime now)
{
    const std::uint64_t version = stored.root.version;
    noteStore(found(version));
    if (version > m_inForce.version()) {
        if (m_inForce.isRefused(version, stored.storeVersion) || waitsForParts(stored.root, now))
            return false;
        if (const auto failure = m_store.fetchParts(stored.root, m_inForce.cache())) {
            noteStore(failure->reason);
            return false;
        }
    }
    const ConfigurationOffer offer{version, stored.storeVersion, std::move(stored.text), {}};
    const Acceptance acceptance = m_inForce.accept(offer, "the platform", now);
    noteAcceptance(acceptance, true);
    return acceptance == Acceptance::Applied || acceptance == Acceptance::NotNewer;
}

/// Spreads the reading of many parts when the whole fleet starts at once; the watchers read at
/// once, and the others mostly have their parts from them before their turn comes.
bool ConfigurationSync::waitsForParts(const ConfigurationRoot &root, SteadyTime now)
{
    const std::size_t count = m_inForce.cache().missing(root.parts).size();
    if (count <= FewParts || isWatcher())
        return false;
    if (m_partsDue == SteadyTime{}) {
        const auto mean = fleetSize() * count * 1000 / PartReadsPerSecond / 2;
        m_partsDue = now + jittered(milliseconds(static_cast<milliseconds::rep>(mean)));
    }
    if (now < m_partsDue)
        return true;
    m_partsDue = SteadyTime{};
    return false;
}

void ConfigurationSync::noteStore(const std::string &answer)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_storeAnswer = answer;
}

/// A few routers at random, from the live members and the seeds.
std::vector<std::string> ConfigurationSync::firstPeers()
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
    peers.resize(std::min(peers.size(), MostFirstPeers));
    return peers;
}

/// One router that is known to have a newer version in force, at random.
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
    forEachInParallel(peers, MostFirstPeers, [&](const std::string &peer) { pull(peer, now); });
}

/// Asks for what changed since the version in force here. Where parts are missing all the same, as
/// an offer is bounded, asks again for those that are not here, as long as new ones come.
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
        answer = found(offer->version);
        if (offer->version == 0)
            break;
        acceptance = m_inForce.accept(*offer, peer, now);
        haveVersion = 0;
        auto known = m_inForce.cache().names();
        if (known.size() <= haveParts.size())
            break;
        haveParts = std::move(known);
    }
    noteAcceptance(acceptance, false);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_peerAnswer = peer + ": " + answer;
}

/// Watchers tell their share of the data centre. Another router that read news itself tells the
/// watchers of its data centre, and the share of each that gives no answer.
void ConfigurationSync::pushNews()
{
    if (!m_hasNews.exchange(false) || !m_node.members)
        return;
    const auto all = m_node.members->members();
    const std::string &dataCentre = m_node.settings.dataCentre;
    if (isWatcher()) {
        pushTo(pushTargets(m_node.members->self(), dataCentre, *all));
        return;
    }
    if (!m_newsFromStore)
        return;
    const auto addresses = watchersOf(dataCentre, *all);
    std::vector<Member> watchers;
    for (const Member &member : *all) {
        if (std::find(addresses.begin(), addresses.end(), member.address) != addresses.end())
            watchers.push_back(member);
    }
    for (const Member &silent : pushTo(watchers))
        pushTo(pushTargets(silent.address, dataCentre, *all));
}

/// Returns those that gave no answer.
std::vector<Member> ConfigurationSync::pushTo(std::vector<Member> receivers)
{
    const std::uint64_t version = m_inForce.version();
    std::erase_if(receivers, [&](const Member &member) {
        return member.configVersion >= version || member.address == m_node.settings.peersListen;
    });
    std::mutex mutex;
    std::vector<Member> silent;
    forEachInParallel(receivers, MostParallelPushes, [&](const Member &member) {
        if (push(member))
            return;
        const std::lock_guard<std::mutex> lock(mutex);
        silent.push_back(member);
    });
    return silent;
}

/// Pushes what the member lacks by what was last heard of it, or else only the newest change; then
/// once more by its answer, when it turns out to have less. Returns whether it answered.
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

void ConfigurationSync::noteAcceptance(Acceptance acceptance, bool fromStore)
{
    if (acceptance != Acceptance::Applied)
        return;
    m_newsFromStore = fromStore;
    m_hasNews = true;
}

} // namespace almondmill
