#pragma once

#include "almondmill/forward/partevidence.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

class Counter;
class Metrics;

/// Circuit breakers for prompt parts. A part that waited at several engines when they crashed, and
/// has not been answered since, is open: requests with it are refused. The state follows from the
/// evidence alone, so routers that know the same evidence open and close the same parts. Evidence
/// may be merged in any order and repeatedly. A part is not suspected for crashes at which an
/// open part waited that was at more crashes. Must be used on the event loop only.
class PartBreakers
{
public:
    using Parts = std::vector<PartHash>;

    /// A part whose requests are refused.
    struct OpenPart
    {
        PartHash part = 0;
        std::size_t crashes = 0;
        std::chrono::milliseconds retryAfter{0}; ///< Time until a request is let through as a test.
    };

    PartBreakers(const std::string &self, Metrics &metrics);

    /// Calls `onCrash` whenever a crash was recorded.
    void start(std::function<void()> onCrash) { m_onCrash = std::move(onCrash); }

    /// Adds a router that may let requests through open parts.
    void addRouter(const std::string &name);

    /// The first of the parts that is open for a request; nothing when it may be sent. `tested` are
    /// the half-open parts whose test the request has taken.
    std::optional<OpenPart> findOpen(const Parts &parts, SteadyTime now,
                                     const Parts &tested = {}) const;

    /// Like findOpen. A request that may be sent takes this router's test of its half-open parts;
    /// they are added to `tested`.
    std::optional<OpenPart> admit(const Parts &parts, SteadyTime now, Parts &tested);

    /// Gives tests back that ended without showing whether the parts crash engines.
    void releaseTests(const Parts &tested);

    /// Whether a request that was at an engine's crash may be sent to another engine.
    bool mayRetry(const Parts &parts) const;

    /// Most crashes of one of the parts since it was last answered.
    std::size_t crashesOf(const Parts &parts) const;

    /// Whether it is known that the engine crashed.
    bool hasCrashed(std::uint64_t engine) const;

    /// Records that an engine crashed while a request with these parts waited there.
    void recordCrash(std::uint64_t engine, const Parts &parts, SteadyTime now);

    /// Records a sound answer to a request with these parts that started at `startedAt`.
    void recordAnswer(const Parts &parts, SteadyTime startedAt);

    /// Who receives evidence: all routers, or this one alone.
    enum class Audience { AllRouters, ThisRouter };

    /// Merges evidence of another router. Returns whether it was news. What all routers receive is
    /// not sent again.
    bool merge(const std::vector<PartEvidence> &evidence, Audience audience, SteadyTime now);

    /// Evidence to be sent to all routers, most crashes first. Each change is returned once;
    /// answers that other routers may have seen too are returned after a while, by the part's
    /// rendezvous order, unless another router reports them. `limit` bounds the number of parts and
    /// crashes in the result.
    std::vector<PartEvidence> takeUnsent(std::size_t limit, SteadyTime now);
    bool hasUnsent(SteadyTime now) const;

    /// Evidence to repeat to other routers: parts with at least two crashes in turn, those that
    /// were repeated longest ago first. `limit` is that of takeUnsent; it must allow the crashes
    /// that are kept of one part.
    std::vector<PartEvidence> takeRepeats(std::size_t limit);

    /// Evidence by which requests or their retries are refused, most crashes first. `limit` bounds
    /// the number of parts and crashes together.
    std::vector<PartEvidence> decisiveEvidence(std::size_t limit) const;

    /// Drops evidence that is too old, and counts the parts that opened or closed.
    void refresh(SteadyTime now);

    /// Open and half-open parts.
    std::vector<OpenPart> openParts(SteadyTime now) const;

private:
    /// Crashes since the part was last answered; fewer when other parts explain some of them.
    struct Suspicion
    {
        std::size_t crashes = 0; ///< Simultaneous crashes count as one.
        SteadyTime firstAt;
        SteadyTime lastAt;
        std::uint64_t engines = 0; ///< Sum of the engines' hashes; tells sets of crashes apart.
        bool isAmbiguous = false;  ///< Another part was at the same crashes.
    };

    struct Entry
    {
        PartEvidence evidence;
        Suspicion suspicion; ///< As of the last call of updateSuspicions.
        /// Start of the latest sound answer that this router saw. It is not sent: at each router
        /// the time would become later by the delay of the message.
        std::optional<SteadyTime> answeredAt;
        SteadyTime testUntil; ///< Until then a request of this router tests the half-open part.
        std::vector<std::uint64_t> unsentCrashes; ///< Engines whose crash no router has reported.
        std::uint64_t lastRepeat = 0; ///< Call of takeRepeats that returned the part last.
        bool hasUnsentAnswer = false; ///< It knows of an answer that may not have been reported.
        std::optional<SteadyTime> unsentSince; ///< First call of takeUnsent with such an answer.
        bool wasOpen = false;
    };

    using Engines = absl::flat_hash_set<std::uint64_t>;

    static Suspicion suspicionOf(const PartEvidence &evidence, const Engines &explained);
    /// Derives the suspicions from the evidence. An open part explains the crashes that it was at
    /// to all parts with fewer crashes, so that they are not suspected for waiting beside it.
    void updateSuspicions();
    /// Whether the part is so suspect that crashes need no other cause. A part that was ever
    /// answered after a crash is not: many requests share it, and it would hide the cause.
    static bool explainsCrashes(const Entry &entry);
    static bool isOpen(const Suspicion &suspicion, SteadyTime now);
    static bool addCrash(Entry &entry, const EngineCrash &crash);
    bool mergeEntry(const PartEvidence &evidence, SteadyTime now);
    /// Waits with this router's report of an answer to the part if the evidence, which all routers
    /// receive, reports one, and drops what the evidence says completely.
    void postponeReport(const PartEvidence &evidence, SteadyTime now);
    bool isDue(const Entry &entry, SteadyTime now) const;
    bool isAnswerDue(const Entry &entry, SteadyTime now) const;
    /// What is to be sent of the part: all evidence when an answer is due, else the new crashes.
    PartEvidence unsentOf(const Entry &entry, SteadyTime now) const;
    /// Number of other routers that come before this one in the rendezvous order of the key.
    std::size_t rankFor(std::uint64_t key) const;
    bool isTester(PartHash part, const Suspicion &suspicion, SteadyTime now) const;
    /// Whether the part is open for a request with these parts that tests those in `tested`.
    std::optional<OpenPart> openPart(PartHash part, const Parts &parts, SteadyTime now,
                                     const Parts &tested) const;
    /// Whether one of the other parts was at the same crashes as `part`.
    bool sharesCrashes(PartHash part, const Parts &parts) const;
    /// Time from the last crash until the part is tested.
    static std::chrono::milliseconds holdOf(const Suspicion &suspicion);
    /// Marks those of the parts, which have equally many crashes, that were at the same ones.
    static void markAmbiguous(const std::vector<Entry *> &entries);
    Entry &entryOf(PartHash part);
    void evict();

    std::uint64_t m_self;
    std::vector<std::uint64_t> m_routers; ///< Hashes of the names of the other routers.
    absl::flat_hash_map<PartHash, Entry> m_entries;
    std::uint64_t m_repeats = 0; ///< Calls of takeRepeats.
    std::function<void()> m_onCrash;
    Counter &m_crashes;
    Counter &m_opened;
    Counter &m_closed;
    Counter &m_cleared;
};

} // namespace almondmill
