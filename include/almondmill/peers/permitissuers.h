#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/peers/keyowners.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

/// Which router issues what all routers together may use of a key: permits for an endpoint with a
/// rate limit, or amounts of an account's quota. The first owner of the key issues, the second
/// stands by. Must be used on the event loop only.
class PermitIssuers
{
public:
    /// A router that has just started doesn't know its peers for this time.
    static constexpr std::chrono::milliseconds StartDelay{2000};

    /// A router that has received no message of any peer for this time takes itself to be cut off.
    /// Peers send several messages a second.
    static constexpr std::chrono::milliseconds IsolationTime{1500};

    /// Issuers of one key that are asked for one request.
    static constexpr int MaxAsked = 2;

    /// A list of so many routers is taken to be that of the fleet also before the time in which
    /// routers that start together have registered.
    static constexpr std::size_t UsableListSize = 8;

    /// This router's place among the owners of a key.
    enum class Rank { First, Standby, None };

    PermitIssuers(std::string self, SteadyTime now);

    void addRouter(const std::string &name);

    /// A peer sent a message; `isLeaving` when it said that it shuts down.
    void recordMessage(const std::string &peer, bool isLeaving, SteadyTime now);

    /// This router shuts down and issues nothing more.
    void leave();

    /// The issuer to ask; empty when neither owner answers this router.
    std::optional<std::string> issuerToAsk(std::uint64_t key, SteadyTime now) const;

    void recordUnanswered(const std::string &issuer, SteadyTime now);
    void recordAnswered(const std::string &issuer) { m_owners.recordAnswered(issuer); }

    /// This router has read a list of the routers. Before that it knows those that sent messages.
    void recordList() { m_hasList = true; }

    /// Whether the known routers are about those of the fleet.
    bool knowsFleet(SteadyTime now) const;

    Rank rankOf(std::uint64_t key) const;
    std::array<std::string, KeyOwners::OwnersPerKey> ownersOf(std::uint64_t key) const
    {
        return m_owners.ownersOf(key);
    }

    /// Part of the key's rate that this router may issue; `standbyShare` while the first owner
    /// answers it.
    double issuedShare(std::uint64_t key, double standbyShare, SteadyTime now) const;

    bool isStarting(SteadyTime now) const { return now < m_startedAt + StartDelay; }
    SteadyTime startedAt() const { return m_startedAt; }

    /// All known routers, this one first.
    const std::vector<std::string> &routers() const { return m_names; }

private:
    const std::string m_self;
    const SteadyTime m_startedAt;
    bool m_hasList = false;
    SteadyTime m_heardAt; ///< Last message of any peer.
    KeyOwners m_owners;
    std::vector<std::string> m_names;
};

} // namespace almondmill
