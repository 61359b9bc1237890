#include "almondmill/forward/partbreakers.h"

#include "almondmill/kernel/hash.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/observe/eventline.h"

#include <algorithm>
#include <map>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// Crashes since the last sound answer from which a part is open.
constexpr std::size_t CrashesToOpen = 3;

/// A request whose part was at this many crashes is not sent to another engine.
constexpr std::size_t CrashesToStopRetries = 2;

/// A part that waited at crashes beside a more suspected part: for each crash that the other one
/// was not at, so many of its crashes count. The first one stops retries, and the second one opens
/// the part; so one crash without guilt refuses nobody, and a second crashing part hides for long
/// behind no other.
constexpr std::size_t CrashesPerUnexplained = 2;

/// Engines that share a rack or a power supply end together; such crashes count as one.
constexpr milliseconds SimultaneousCrashes{30};

/// A part opens at the earliest this long after its first crash, so that sound answers that other
/// routers saw arrive before.
constexpr milliseconds MinSuspicion{1000};

/// So many crashes open a part without this delay. A table keeps only the latest crashes of a part,
/// which may all be recent.
constexpr std::size_t CrashesToOpenAtOnce = 6;

/// Time from the last crash until an open part is tested with a request. Each further crash doubles
/// it, up to MaxHold.
constexpr milliseconds FirstHold{20'000};

/// Longest time from the last crash until an open part is tested, so that a part which has become
/// harmless returns.
constexpr milliseconds MaxHold{600'000};

/// FirstHold of parts that were at the same three crashes: one request with only one of them tells
/// which of them it is.
constexpr milliseconds FirstHoldOfAmbiguousParts{2000};

/// Routers take turns of this length in testing a half-open part, because some may have left or get
/// no request with the part.
constexpr milliseconds TestTurn{5000};
constexpr milliseconds TestTurnOfAmbiguousParts{1000};

/// Routers that may test a part in one turn: one in the first, and more in the later ones. A bound,
/// because requests with the part may return at all routers at once after a pause.
constexpr std::size_t MaxTestersInFirstTurn = 1;
constexpr std::size_t MaxTesters = 2;

/// A test without a result ends after this time.
constexpr milliseconds TestTimeout{10'000};

/// Evidence is kept at least this long after the last crash.
constexpr milliseconds MinRetention{120'000};

/// An open part is forgotten after this multiple of its hold.
constexpr int RetentionHolds = 4;

constexpr std::size_t MaxCrashesPerPart = 12;
constexpr std::size_t MaxParts = 512;

milliseconds holdAfter(std::size_t crashes)
{
    milliseconds hold = FirstHold;
    for (std::size_t crash = CrashesToOpen; crash < crashes; ++crash)
        hold = std::min(hold * 2, MaxHold);
    return hold;
}

milliseconds retentionAfter(std::size_t crashes)
{
    return crashes < CrashesToOpen ? MinRetention
                                   : std::max(MinRetention, holdAfter(crashes) * RetentionHolds);
}

milliseconds timeUntil(SteadyTime time, SteadyTime now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(time - now), milliseconds(1000));
}

/// Answered crashes count too: other routers may not know yet that they were answered, and repeat
/// them for as long.
bool hasExpired(const PartEvidence &evidence, SteadyTime now)
{
    const auto &crashes = evidence.crashes;
    return crashes.empty() || now - crashes.back().at > retentionAfter(crashes.size());
}

} // namespace

PartBreakers::PartBreakers(const std::string &self, Metrics &metrics)
    : m_self(hash64(self))
    , m_crashes(metrics.counter("almondmill_part_crashes_total"))
    , m_opened(metrics.counter("almondmill_parts_opened_total"))
    , m_closed(metrics.counter("almondmill_parts_closed_total"))
    , m_cleared(metrics.counter("almondmill_parts_cleared_total"))
{}

void PartBreakers::addRouter(const std::string &name)
{
    m_routers.push_back(hash64(name));
}

std::optional<PartBreakers::OpenPart> PartBreakers::findOpen(const Parts &parts, SteadyTime now,
                                                             const Parts &tested) const
{
    for (const PartHash part : parts) {
        if (const auto open = openPart(part, parts, now, tested))
            return open;
    }
    return std::nullopt;
}

bool PartBreakers::sharesCrashes(PartHash part, const Parts &parts) const
{
    const Suspicion &suspicion = m_entries.at(part).suspicion;
    return std::any_of(parts.begin(), parts.end(), [&](PartHash other) {
        const auto found = m_entries.find(other);
        return other != part && found != m_entries.end()
               && found->second.suspicion.engines == suspicion.engines;
    });
}

milliseconds PartBreakers::holdOf(const Suspicion &suspicion)
{
    const bool isShort = suspicion.isAmbiguous && suspicion.crashes == CrashesToOpen;
    return isShort ? FirstHoldOfAmbiguousParts : holdAfter(suspicion.crashes);
}

std::optional<PartBreakers::OpenPart>
PartBreakers::openPart(PartHash part, const Parts &parts, SteadyTime now, const Parts &tested) const
{
    const auto found = m_entries.find(part);
    if (found == m_entries.end())
        return std::nullopt;
    const Suspicion suspicion = found->second.suspicion;
    if (!isOpen(suspicion, now))
        return std::nullopt;
    const SteadyTime heldUntil = suspicion.lastAt + holdOf(suspicion);
    const bool holdsTest = std::find(tested.begin(), tested.end(), part) != tested.end();
    const bool isEarly = now < suspicion.lastAt + holdAfter(suspicion.crashes);
    const bool tellsApart = !isEarly || !sharesCrashes(part, parts);
    const bool mayTakeTest =
            now >= found->second.testUntil && tellsApart && isTester(part, suspicion, now);
    if (now >= heldUntil && (holdsTest || mayTakeTest))
        return std::nullopt;
    return OpenPart{part, suspicion.crashes, timeUntil(heldUntil, now)};
}

std::optional<PartBreakers::OpenPart> PartBreakers::admit(const Parts &parts, SteadyTime now,
                                                          Parts &tested)
{
    const auto open = findOpen(parts, now, tested);
    if (open)
        return open;
    for (const PartHash part : parts) {
        const auto found = m_entries.find(part);
        if (found == m_entries.end() || !isOpen(found->second.suspicion, now))
            continue;
        found->second.testUntil = now + TestTimeout;
        tested.push_back(part);
    }
    return std::nullopt;
}

void PartBreakers::releaseTests(const Parts &tested)
{
    for (const PartHash part : tested) {
        const auto found = m_entries.find(part);
        if (found != m_entries.end())
            found->second.testUntil = SteadyTime();
    }
}

bool PartBreakers::mayRetry(const Parts &parts) const
{
    return crashesOf(parts) < CrashesToStopRetries;
}

std::size_t PartBreakers::crashesOf(const Parts &parts) const
{
    std::size_t most = 0;
    for (const PartHash part : parts) {
        const auto found = m_entries.find(part);
        if (found != m_entries.end())
            most = std::max(most, found->second.suspicion.crashes);
    }
    return most;
}

bool PartBreakers::hasCrashed(std::uint64_t engine) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &entry) {
        const auto &crashes = entry.second.evidence.crashes;
        return std::any_of(crashes.begin(), crashes.end(),
                           [&](const EngineCrash &crash) { return crash.engine == engine; });
    });
}

void PartBreakers::recordCrash(std::uint64_t engine, const Parts &parts, SteadyTime now)
{
    if (!hasCrashed(engine))
        m_crashes.add();
    for (const PartHash part : parts) {
        Entry &entry = entryOf(part);
        if (addCrash(entry, {engine, now}))
            entry.unsentCrashes.push_back(engine);
    }
    updateSuspicions();
    refresh(now);
    if (m_onCrash)
        m_onCrash();
}

void PartBreakers::recordAnswer(const Parts &parts, SteadyTime startedAt)
{
    bool isChanged = false;
    for (const PartHash part : parts) {
        const auto found = m_entries.find(part);
        if (found == m_entries.end())
            continue;
        Entry &entry = found->second;
        entry.answeredAt = std::max(entry.answeredAt.value_or(startedAt), startedAt);
        bool isNews = false;
        for (EngineCrash &crash : entry.evidence.crashes) {
            isNews = isNews || (!crash.answered && crash.at < startedAt);
            crash.answered = crash.answered || crash.at < startedAt;
        }
        if (!isNews)
            continue;
        entry.hasUnsentAnswer = true;
        m_cleared.add();
        isChanged = true;
    }
    if (isChanged)
        updateSuspicions();
}

bool PartBreakers::merge(const std::vector<PartEvidence> &evidence, Audience audience,
                         SteadyTime now)
{
    bool isNews = false;
    for (const PartEvidence &part : evidence) {
        isNews = mergeEntry(part, now) || isNews;
        if (audience == Audience::AllRouters)
            postponeReport(part, now);
    }
    updateSuspicions();
    refresh(now);
    return isNews;
}

bool PartBreakers::mergeEntry(const PartEvidence &evidence, SteadyTime now)
{
    const bool isKnown = m_entries.contains(evidence.part);
    if (!isKnown && suspicionOf(evidence, {}).crashes == 0)
        return false;
    Entry &entry = entryOf(evidence.part);
    bool isNews = false;
    for (const EngineCrash &crash : evidence.crashes)
        isNews = addCrash(entry, {crash.engine, std::min(crash.at, now), crash.answered}) || isNews;
    return isNews;
}

void PartBreakers::refresh(SteadyTime now)
{
    for (auto &[part, entry] : m_entries) {
        const Suspicion suspicion = entry.suspicion;
        const bool open = isOpen(suspicion, now);
        if (open == entry.wasOpen)
            continue;
        entry.wasOpen = open;
        (open ? m_opened : m_closed).add();
        EventLine(open ? "part.opened" : "part.closed")
                .add("part", part)
                .add("crashes", std::uint64_t(suspicion.crashes))
                .add("hold", open ? holdOf(suspicion) : milliseconds(0));
    }
    const std::size_t erased = absl::erase_if(m_entries, [&](const auto &entry) {
        const Entry &kept = entry.second;
        const bool isUnsent = kept.hasUnsentAnswer || !kept.unsentCrashes.empty();
        return !isUnsent && hasExpired(kept.evidence, now);
    });
    if (erased != 0)
        updateSuspicions();
}

std::vector<PartBreakers::OpenPart> PartBreakers::openParts(SteadyTime now) const
{
    std::vector<OpenPart> open;
    for (const auto &[part, entry] : m_entries) {
        const Suspicion suspicion = entry.suspicion;
        if (!isOpen(suspicion, now))
            continue;
        const SteadyTime heldUntil = suspicion.lastAt + holdOf(suspicion);
        open.push_back({part, suspicion.crashes, timeUntil(heldUntil, now)});
    }
    return open;
}

PartBreakers::Suspicion PartBreakers::suspicionOf(const PartEvidence &evidence,
                                                  const Engines &explained)
{
    Suspicion suspicion;
    for (const EngineCrash &crash : evidence.crashes) {
        if (crash.answered || explained.contains(crash.engine))
            continue;
        suspicion.engines += crash.engine;
        if (suspicion.crashes == 0)
            suspicion.firstAt = crash.at;
        if (suspicion.crashes == 0 || crash.at - suspicion.lastAt >= SimultaneousCrashes) {
            ++suspicion.crashes;
            suspicion.lastAt = crash.at;
        }
    }
    return suspicion;
}

void PartBreakers::updateSuspicions()
{
    std::map<std::size_t, std::vector<Entry *>, std::greater<>> byCrashes;
    for (auto &[part, entry] : m_entries)
        byCrashes[suspicionOf(entry.evidence, {}).crashes].push_back(&entry);
    Engines explained;
    for (const auto &[crashes, entries] : byCrashes) {
        for (Entry *entry : entries) {
            entry->suspicion = suspicionOf(entry->evidence, {});
            const std::size_t unexplained = suspicionOf(entry->evidence, explained).crashes;
            entry->suspicion.crashes = std::min(crashes, unexplained * CrashesPerUnexplained);
        }
        markAmbiguous(entries);
        // Only now, since parts with the same number of crashes cannot be told apart.
        for (const Entry *entry : entries) {
            if (!explainsCrashes(*entry))
                continue;
            for (const EngineCrash &crash : entry->evidence.crashes)
                explained.insert(crash.engine);
        }
    }
}

void PartBreakers::markAmbiguous(const std::vector<Entry *> &entries)
{
    std::map<std::uint64_t, std::vector<Entry *>> byEngines;
    for (Entry *entry : entries)
        byEngines[entry->suspicion.engines].push_back(entry);
    for (const auto &[engines, parts] : byEngines) {
        for (Entry *entry : parts)
            entry->suspicion.isAmbiguous = parts.size() > 1;
    }
}

bool PartBreakers::explainsCrashes(const Entry &entry)
{
    return entry.suspicion.crashes >= CrashesToOpen && !isAnswered(entry.evidence);
}

bool PartBreakers::isOpen(const Suspicion &suspicion, SteadyTime now)
{
    return suspicion.crashes >= CrashesToOpenAtOnce
           || (suspicion.crashes >= CrashesToOpen && now - suspicion.firstAt >= MinSuspicion);
}

bool PartBreakers::addCrash(Entry &entry, const EngineCrash &crash)
{
    auto &crashes = entry.evidence.crashes;
    auto known = std::find_if(crashes.begin(), crashes.end(), [&](const EngineCrash &other) {
        return other.engine == crash.engine;
    });
    const bool isNew = known == crashes.end();
    if (isNew && crashes.size() == MaxCrashesPerPart && crash.at <= crashes.front().at)
        return false;
    if (isNew)
        known = crashes.insert(crashes.end(), crash);
    const bool wasAnswered = !isNew && known->answered;
    // Reports arrive late, so the earliest time is the closest to the truth.
    known->at = std::min(known->at, crash.at);
    known->answered =
            wasAnswered || crash.answered || (entry.answeredAt && known->at < *entry.answeredAt);
    const bool isNews = isNew || known->answered != wasAnswered;
    // Tells a router that suspects a part which has been answered since.
    entry.hasUnsentAnswer = entry.hasUnsentAnswer || (known->answered && !crash.answered);
    std::sort(crashes.begin(), crashes.end(),
              [](const EngineCrash &first, const EngineCrash &second) {
                  return first.at < second.at;
              });
    if (crashes.size() > MaxCrashesPerPart)
        crashes.erase(crashes.begin());
    return isNews;
}

bool PartBreakers::isTester(PartHash part, const Suspicion &suspicion, SteadyTime now) const
{
    const SteadyTime heldUntil = suspicion.lastAt + holdOf(suspicion);
    if (now < heldUntil)
        return false;
    const milliseconds length = suspicion.isAmbiguous ? TestTurnOfAmbiguousParts : TestTurn;
    const auto turn = static_cast<std::uint64_t>((now - heldUntil) / length);
    return rankFor(mixHash(part, turn)) < (turn == 0 ? MaxTestersInFirstTurn : MaxTesters);
}

std::size_t PartBreakers::rankFor(std::uint64_t key) const
{
    const std::uint64_t rank = mixHash(key, m_self);
    const auto before =
            std::count_if(m_routers.begin(), m_routers.end(),
                          [&](std::uint64_t router) { return mixHash(key, router) < rank; });
    return static_cast<std::size_t>(before);
}

PartBreakers::Entry &PartBreakers::entryOf(PartHash part)
{
    if (!m_entries.contains(part) && m_entries.size() >= MaxParts)
        evict();
    Entry &entry = m_entries[part];
    entry.evidence.part = part;
    return entry;
}

void PartBreakers::evict()
{
    const auto rankOf = [](const Entry &entry) {
        const auto &crashes = entry.evidence.crashes;
        return std::pair(entry.suspicion.crashes,
                         crashes.empty() ? SteadyTime() : crashes.back().at);
    };
    const auto least = std::min_element(m_entries.begin(), m_entries.end(),
                                        [&](const auto &first, const auto &second) {
                                            return rankOf(first.second) < rankOf(second.second);
                                        });
    m_entries.erase(least);
}

} // namespace almondmill
