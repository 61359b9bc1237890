#include "almondmill/forward/partevidencearchive.h"

#include "almondmill/forward/partbreakers.h"
#include "almondmill/forward/storedpartevidence.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/store/asyncstore.h"
#include "almondmill/store/revision.h"

#include <utility>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

constexpr const char *ObjectName = "current";

constexpr milliseconds StoreTimeout{900};

/// Interval at which a router whose read failed checks whether the store answers its other calls.
/// Those probe an outage already; a fleet must not add to them.
constexpr milliseconds RetryDelay{200};

/// Interval at which the writer compares the evidence with what is stored. A part that crashed no
/// engine is mostly answered within this time, and needs no write.
constexpr milliseconds CheckInterval{1000};

/// Parts and crashes in the object together; each takes up to 100 bytes.
constexpr std::size_t MaxStoredItems = 600;

SteadyTime callDeadline()
{
    return std::chrono::steady_clock::now() + StoreTimeout;
}

} // namespace

PartEvidenceArchive::PartEvidenceArchive(asio::io_context &loop, AsyncStore &store,
                                         PartBreakers &breakers, Conditions conditions)
    : m_loop(loop)
    , m_store(store)
    , m_breakers(breakers)
    , m_conditions(std::move(conditions))
{}

asio::awaitable<void> PartEvidenceArchive::run()
{
    co_await restoreUntilAnswered();
    for (;;) {
        co_await sleepFor(m_loop, CheckInterval);
        const bool isWriter = m_conditions.isWriter() && m_conditions.isStoreAnswering();
        // After an outage each router is the first reader until it hears of those before it, so
        // only the second check counts.
        const bool isConfirmed = std::exchange(m_wasWriter, isWriter) && isWriter;
        m_knowsStored = m_knowsStored && isConfirmed;
        if (isConfirmed)
            co_await maintain();
    }
}

asio::awaitable<void> PartEvidenceArchive::maintain()
{
    if (!m_knowsStored)
        m_knowsStored = co_await restore();
    if (m_knowsStored && isChanged())
        co_await save();
}

asio::awaitable<void> PartEvidenceArchive::restoreUntilAnswered()
{
    for (;;) {
        const bool isAnswered = co_await restore();
        if (isAnswered)
            co_return;
        co_await awaitAnsweringStore();
    }
}

asio::awaitable<void> PartEvidenceArchive::awaitAnsweringStore()
{
    for (;;) {
        co_await sleepFor(m_loop, RetryDelay);
        if (m_conditions.isStoreAnswering())
            co_return;
    }
}

asio::awaitable<bool> PartEvidenceArchive::restore()
{
    const auto result = co_await m_store.read(ObjectKind::PartEvidence, ObjectName,
                                              Freshness::Current, callDeadline());
    if (std::holds_alternative<Unavailable>(result))
        co_return false;
    if (const auto *object = std::get_if<StoredObject>(&result)) {
        merge(*object);
        co_return true;
    }
    m_version = 0;
    m_storedDigest = 0;
    co_return true;
}

bool PartEvidenceArchive::isChanged() const
{
    return digestOf(m_breakers.decisiveEvidence(MaxStoredItems)) != m_storedDigest;
}

asio::awaitable<void> PartEvidenceArchive::save()
{
    const auto evidence = m_breakers.decisiveEvidence(MaxStoredItems);
    const std::string value = encodeStoredEvidence(evidence, EvidenceTime::now());
    UpdateResult result = NotApplied{};
    if (m_version == 0)
        result = co_await m_store.create(ObjectKind::PartEvidence, ObjectName, value,
                                         callDeadline());
    else
        result = co_await m_store.update(ObjectKind::PartEvidence, ObjectName, value, m_version,
                                         callDeadline());
    if (const auto *applied = std::get_if<Applied>(&result)) {
        m_version = applied->version;
        m_storedDigest = digestOf(evidence);
        EventLine("part_evidence.saved")
                .add("parts", std::uint64_t(evidence.size()))
                .add("revision", revisionText(m_version));
        co_return;
    }
    // Any other outcome is followed by another attempt at the next check.
    const auto *conflict = std::get_if<Conflict>(&result);
    if (conflict && conflict->current)
        merge(*conflict->current);
    else if (conflict)
        m_version = 0;
}

void PartEvidenceArchive::merge(const StoredObject &object)
{
    const EvidenceTime now = EvidenceTime::now();
    m_version = object.version;
    m_storedDigest = 0;
    const auto evidence = decodeStoredEvidence(object.value, now);
    if (!evidence) {
        EventLine("part_evidence.unreadable").add("revision", revisionText(object.version));
        return;
    }
    m_storedDigest = digestOf(*evidence);
    m_breakers.merge(*evidence, PartBreakers::Audience::ThisRouter, now.steady);
    EventLine("part_evidence.restored")
            .add("parts", std::uint64_t(evidence->size()))
            .add("revision", revisionText(object.version));
}

} // namespace almondmill
