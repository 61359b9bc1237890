#pragma once

#include "almondmill/config/configurationinforce.h"
#include "almondmill/config/configurationstore.h"
#include "almondmill/fleet/member.h"

#include <atomic>
#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace almondmill {

/// Distributes accepted configurations: decides when this router reads the object API, from which
/// routers it pulls and to which it pushes. The rate of calls to the platform does not grow with
/// the fleet: WatchersPerDataCentre routers of each data centre watch the root and push new
/// versions to the other routers. A router that learns of a newer version from a heartbeat pulls
/// it. As a fallback every router reads the root periodically, at an interval proportional to the
/// size of the fleet. The class starts no threads of its own except for parallel calls: one thread
/// may call storeStep(), one other peerStep(), and any number the remaining functions.
class ConfigurationSync
{
public:
    ConfigurationSync(Node &node, std::uint64_t seed);

    ConfigurationInForce &inForce() { return m_inForce; }

    /// Whether this router is one of the watchers, according to its own view of the fleet.
    bool isWatcher() const;

    /// Adds the configuration in force and the latest results of calls to the platform and to
    /// peers.
    void dump(nlohmann::json &object, SteadyTime now) const;

    /// Reads the root if a periodic read is due, and watches it if this router is a watcher. Blocks
    /// for calls to the platform, each bounded by the platform timeout, and for the wait of one
    /// watch. Returns the delay before the next call.
    std::chrono::milliseconds storeStep(SteadyTime now);

    /// Pulls from other routers if this one is behind, and pushes a newly applied version to
    /// others. Blocks for calls to peers, each bounded by a timeout. Returns the delay before the
    /// next call.
    std::chrono::milliseconds peerStep(SteadyTime now);

    /// Processes an offer that another router pushed. Returns the version in force afterwards.
    std::uint64_t acceptPush(const ConfigurationOffer &offer, SteadyTime now);

    /// Records that `peer` has `version` in force. Returns whether that is newer than the version
    /// in force here.
    bool recordPeerVersion(const std::string &peer, std::uint64_t version);

private:
    /// A peer that has reported a version newer than the one in force here.
    struct Hint
    {
        std::string peer;
        std::uint64_t version = 0;
    };

    std::vector<Member> members() const;
    std::size_t fleetSize() const;
    std::chrono::milliseconds jittered(std::chrono::milliseconds mean);
    std::chrono::milliseconds uniform(std::chrono::milliseconds minimum,
                                      std::chrono::milliseconds maximum);
    void schedulePeriodicRead(SteadyTime now);
    std::chrono::milliseconds readFirst(SteadyTime now);
    void watchRoot(SteadyTime now);
    bool readStore(SteadyTime now);
    bool processRoot(StoredRoot stored, SteadyTime now);
    bool delaysPartReads(const ConfigurationRoot &root, SteadyTime now);
    void recordStoreAnswer(const std::string &answer);
    std::vector<std::string> bootstrapPeers();
    std::vector<std::string> newerPeers();
    void pullFrom(const std::vector<std::string> &peers, SteadyTime now);
    void pull(const std::string &peer, SteadyTime now);
    void pushUpdate();
    std::vector<Member> pushTo(std::vector<Member> receivers);
    bool push(const Member &member);
    void recordAcceptance(Acceptance acceptance, bool fromStore);

    Node &m_node;
    ConfigurationInForce m_inForce;
    ConfigurationStore m_store;
    std::uint64_t m_watchRevision = 0;
    bool m_watchFailed = false;
    SteadyTime m_nextPeriodicRead{};
    SteadyTime m_partReadTime{};
    std::atomic<bool> m_pushPending{false};
    std::atomic<bool> m_appliedFromStore{false};

    mutable std::mutex m_mutex; ///< Guards the members below; never held during a remote call.
    std::mt19937_64 m_random;
    Hint m_hint;
    std::string m_storeAnswer = "no call made yet";
    std::string m_peerAnswer = "no call made yet";
};

} // namespace almondmill
