// Implementation of PartBreakers: which evidence is sent to the other routers, and when.

#include "almondmill/forward/partbreakers.h"

#include <algorithm>
#include <utility>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// So many routers report a sound answer to all others at first, and the next routers only if none
/// of these did: many routers see answers to a part that many requests share.
constexpr std::size_t FirstReporters = 2;
constexpr std::size_t ReporterGrowth = 4;
constexpr milliseconds ReporterInterval{250};

/// With fewer peers all routers report at once.
constexpr std::size_t MinPeersToWait = 32;

/// Parts with fewer crashes change no decision yet.
constexpr std::size_t MinCrashesToRepeat = 2;

/// What the evidence adds to the size of a message: the part and its crashes.
std::size_t sizeOf(const PartEvidence &evidence)
{
    return 1 + evidence.crashes.size();
}

} // namespace

std::vector<PartEvidence> PartBreakers::takeUnsent(std::size_t limit, SteadyTime now)
{
    std::vector<Entry *> due;
    for (auto &[part, entry] : m_entries) {
        if (entry.hasUnsentAnswer && !entry.unsentSince)
            entry.unsentSince = now;
        if (isDue(entry, now))
            due.push_back(&entry);
    }
    std::sort(due.begin(), due.end(), [](const Entry *first, const Entry *second) {
        return first->suspicion.crashes > second->suspicion.crashes;
    });
    std::vector<PartEvidence> evidence;
    std::size_t size = 0;
    for (Entry *entry : due) {
        PartEvidence unsent = unsentOf(*entry, now);
        size += sizeOf(unsent);
        if (size > limit && !evidence.empty())
            break;
        if (isAnswerDue(*entry, now)) {
            entry->hasUnsentAnswer = false;
            entry->unsentSince.reset();
        }
        entry->unsentCrashes.clear();
        evidence.push_back(std::move(unsent));
    }
    return evidence;
}

bool PartBreakers::hasUnsent(SteadyTime now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [&](const auto &entry) { return isDue(entry.second, now); });
}

bool PartBreakers::isDue(const Entry &entry, SteadyTime now) const
{
    return !entry.unsentCrashes.empty() || isAnswerDue(entry, now);
}

bool PartBreakers::isAnswerDue(const Entry &entry, SteadyTime now) const
{
    if (!entry.hasUnsentAnswer || m_routers.size() < MinPeersToWait)
        return entry.hasUnsentAnswer;
    const SteadyTime since = entry.unsentSince.value_or(now);
    std::size_t reporters = FirstReporters;
    for (SteadyTime next = since + ReporterInterval; next <= now && reporters <= m_routers.size();
         next += ReporterInterval)
        reporters *= ReporterGrowth;
    return rankFor(entry.evidence.part) < reporters;
}

PartEvidence PartBreakers::unsentOf(const Entry &entry, SteadyTime now) const
{
    PartEvidence unsent = entry.evidence;
    if (isAnswerDue(entry, now))
        return unsent;
    std::erase_if(unsent.crashes, [&](const EngineCrash &crash) {
        return std::count(entry.unsentCrashes.begin(), entry.unsentCrashes.end(), crash.engine)
               == 0;
    });
    return unsent;
}

void PartBreakers::postponeReport(const PartEvidence &evidence, SteadyTime now)
{
    const auto found = m_entries.find(evidence.part);
    if (found == m_entries.end())
        return;
    Entry &entry = found->second;
    if (entry.unsentSince && isAnswered(evidence))
        entry.unsentSince = now;
    for (const EngineCrash &crash : evidence.crashes)
        std::erase(entry.unsentCrashes, crash.engine);
    const auto isReported = [&](const EngineCrash &own) {
        return std::any_of(evidence.crashes.begin(), evidence.crashes.end(),
                           [&](const EngineCrash &crash) {
                               return crash.engine == own.engine && crash.answered == own.answered;
                           });
    };
    const auto &crashes = entry.evidence.crashes;
    if (!std::all_of(crashes.begin(), crashes.end(), isReported))
        return;
    entry.hasUnsentAnswer = false;
    entry.unsentSince.reset();
}

std::vector<PartEvidence> PartBreakers::takeRepeats(std::size_t limit)
{
    std::vector<Entry *> suspects;
    for (auto &[part, entry] : m_entries) {
        if (entry.suspicion.crashes >= MinCrashesToRepeat)
            suspects.push_back(&entry);
    }
    std::sort(suspects.begin(), suspects.end(), [](const Entry *first, const Entry *second) {
        if (first->lastRepeat != second->lastRepeat)
            return first->lastRepeat < second->lastRepeat;
        return first->suspicion.crashes > second->suspicion.crashes;
    });
    ++m_repeats;
    std::vector<PartEvidence> evidence;
    std::size_t size = 0;
    for (Entry *entry : suspects) {
        if (size + sizeOf(entry->evidence) > limit)
            continue;
        size += sizeOf(entry->evidence);
        entry->lastRepeat = m_repeats;
        evidence.push_back(entry->evidence);
    }
    return evidence;
}

std::vector<PartEvidence> PartBreakers::decisiveEvidence(std::size_t limit) const
{
    std::vector<const Entry *> suspects;
    for (const auto &[part, entry] : m_entries) {
        if (entry.suspicion.crashes >= MinCrashesToRepeat)
            suspects.push_back(&entry);
    }
    std::sort(suspects.begin(), suspects.end(), [](const Entry *first, const Entry *second) {
        return std::pair(first->suspicion.crashes, first->evidence.part)
               > std::pair(second->suspicion.crashes, second->evidence.part);
    });
    std::vector<PartEvidence> evidence;
    std::size_t size = 0;
    for (const Entry *entry : suspects) {
        size += sizeOf(entry->evidence);
        if (size > limit)
            break;
        evidence.push_back(entry->evidence);
    }
    return evidence;
}

} // namespace almondmill
