#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

/// Selects the routers that keep the state of a key, such as the location of a prompt part. Each
/// key has two owners, the routers that come first in the key's rendezvous order, which is the same
/// at all routers that know the same fleet. Routers that shut down own nothing.
class KeyOwners
{
public:
    static constexpr std::size_t OwnersPerKey = 2;

    void addRouter(const std::string &name);

    /// The key's owners in rendezvous order; empty names when there are fewer routers.
    std::array<std::string, OwnersPerKey> ownersOf(std::uint64_t key) const;

    /// The owner to ask: the first one that has not recently left a question unanswered. Returns
    /// nothing when both have.
    std::optional<std::string> ownerToAsk(std::uint64_t key, SteadyTime now) const;

    /// Records that a router did not answer a question in time. It is asked again after a time that
    /// grows with each unanswered question.
    void recordUnanswered(const std::string &name, SteadyTime now);

    /// Records that a router answers again.
    void recordAnswered(const std::string &name) { m_unanswered.erase(name); }

    /// Records that a router sent a message, so that it may be asked again; `isLeaving` when it
    /// said that it shuts down.
    void recordMessage(const std::string &name, bool isLeaving);

private:
    struct Router
    {
        std::uint64_t hash = 0;
        std::string name;
    };

    struct Unanswered
    {
        SteadyTime askAgainAt;
        std::chrono::milliseconds backoff{0};
    };

    std::vector<Router> m_routers;
    absl::flat_hash_set<std::string> m_leaving;
    absl::flat_hash_map<std::string, Unanswered> m_unanswered;
};

} // namespace almondmill
