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

/// Decides when this router reads the object API and which routers it asks and tells, so that an
/// accepted configuration is soon in force everywhere while the calls to the platform do not grow
/// with the fleet: a few watchers a data centre watch the root and push to the others; whoever
/// hears of a newer version pulls it; every router reads the root itself now and then, the more
/// seldom the larger the fleet. It has no threads: one may call storeStep, another peerStep, any
/// number the rest.
class ConfigurationSync
{
public:
    ConfigurationSync(Node &node, std::uint64_t seed);

    ConfigurationInForce &inForce() { return m_inForce; }

    /// Whether this router watches the root, as it sees the fleet.
    bool isWatcher() const;

    /// Adds what is in force, and the last answers of platform and peers.
    void dump(nlohmann::json &object, SteadyTime now) const;

    /// Reads or watches the root if it is time to. Blocks for at most the platform's timeout and
    /// the wait of a watch. Returns how long to wait before the next call.
    std::chrono::milliseconds storeStep(SteadyTime now);

    /// Asks other routers if this one is behind, and pushes news. Blocks for at most a few times
    /// the timeout of a call to a peer. Returns how long to wait before the next call.
    std::chrono::milliseconds peerStep(SteadyTime now);

    /// Takes in what another router pushed. Returns the version in force afterwards.
    std::uint64_t acceptPush(const ConfigurationOffer &offer, SteadyTime now);

    /// Notes that `peer` has `version` in force. Returns whether this router is behind it.
    bool heardVersion(const std::string &peer, std::uint64_t version);

private:
    struct Hint
    {
        std::string peer;
        std::uint64_t version = 0;
    };

    std::vector<Member> members() const;
    std::size_t fleetSize() const;
    std::chrono::milliseconds jittered(std::chrono::milliseconds mean);
    std::chrono::milliseconds uniform(std::chrono::milliseconds least,
                                      std::chrono::milliseconds most);
    void setNextOwnRead(SteadyTime now);
    std::chrono::milliseconds readFirst(SteadyTime now);
    void watchRoot(SteadyTime now);
    bool readStore(SteadyTime now);
    bool takeRoot(StoredRoot stored, SteadyTime now);
    bool waitsForParts(const ConfigurationRoot &root, SteadyTime now);
    void noteStore(const std::string &answer);
    std::vector<std::string> firstPeers();
    std::vector<std::string> newerPeers();
    void pullFrom(const std::vector<std::string> &peers, SteadyTime now);
    void pull(const std::string &peer, SteadyTime now);
    void pushNews();
    std::vector<Member> pushTo(std::vector<Member> receivers);
    bool push(const Member &member);
    void noteAcceptance(Acceptance acceptance, bool fromStore);

    Node &m_node;
    ConfigurationInForce m_inForce;
    ConfigurationStore m_store;
    std::uint64_t m_watchRevision = 0;
    bool m_watchFailed = false;
    SteadyTime m_nextOwnRead{};
    SteadyTime m_partsDue{};
    std::atomic<bool> m_hasNews{false};
    std::atomic<bool> m_newsFromStore{false};

    mutable std::mutex m_mutex; ///< Guards what follows; never held during a call.
    std::mt19937_64 m_random;
    Hint m_hint;
    std::string m_storeAnswer = "not asked yet";
    std::string m_peerAnswer = "not asked yet";
};

} // namespace almondmill
