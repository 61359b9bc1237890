#include "almondmill/rollout/rolloutleader.h"

#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/orders/leaserecord.h"
#include "almondmill/rollout/namedweights.h"
#include "almondmill/rollout/orderlimits.h"
#include "almondmill/rollout/weightsrollout.h"
#include "almondmill/store/asyncstore.h"
#include "almondmill/store/blockingstore.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

constexpr const char *LeaseObject = "weights-rollout";

constexpr milliseconds StoreTimeout{500};

/// Interval between two rounds of a roll-out. Engines take several times as long to load.
constexpr milliseconds RoundInterval{150};

/// The lease is renewed when less than this time is left of it.
constexpr milliseconds RenewalMargin{1300};

/// Interval at which the first candidate reads the lease during a roll-out, so that it detects a
/// missing renewal quickly.
constexpr milliseconds StandbyInterval{700};

/// Interval of these reads while no roll-out is needed, so that a failed holder is already known
/// when the next roll-out begins.
constexpr milliseconds IdleStandbyInterval{4000};

/// Time at the start of a roll-out in which the present holder may renew the lease before the first
/// candidate requests it.
constexpr milliseconds HolderGracePeriod{400};

/// Other routers request the lease when the roll-out has made no progress for this time, plus a
/// jitter derived from the router's name.
constexpr milliseconds MinStandbyDelay{3500};
constexpr std::uint64_t StandbyJitterMs = 2500;

/// Timeout of a short task on the event loop. It expires only when the loop has stopped.
constexpr milliseconds LoopTimeout{500};

/// Added to the minimum time between orders of two holders, to allow for the network delay of the
/// orders.
constexpr milliseconds HandoverMargin{100};

/// Routers that start at the same time spread their first reads of the lease over this time.
constexpr std::uint64_t StartJitterMs = 1500;

/// Tells VMs apart that have the same name one after the other: a new one has another address. The
/// router processes of one VM, of which one runs at a time, share it, so that a restarted one goes
/// on with the lease.
std::uint64_t vmIncarnation(const ForwarderSettings &settings)
{
    return hash64(settings.peersListen);
}

LeaseOptions leaseOptions(const ForwardingContext &context)
{
    LeaseOptions options;
    options.objectName = LeaseObject;
    options.holder = context.settings.name;
    options.incarnation = vmIncarnation(context.settings);
    options.duration = OrderLeaseDuration;
    options.orderTimeout = OrderTimeout;
    options.storeTimeout = StoreTimeout;
    return options;
}

} // namespace

RolloutLeader::RolloutLeader(ForwardingContext &context, AsyncStore &store, WeightsRollout &rollout)
    : m_context(context)
    , m_platformStore(store)
    , m_rollout(rollout)
    , m_store(std::make_unique<BlockingStore>(context.loop, store, ObjectKind::Leases,
                                              Freshness::Current))
    , m_staleStore(std::make_unique<BlockingStore>(context.loop, store, ObjectKind::Leases,
                                                   Freshness::MayBeStale))
    , m_lease(*m_store, leaseOptions(context))
    , m_ownHash(hash64(context.settings.name))
{}

RolloutLeader::~RolloutLeader()
{
    stop();
}

void RolloutLeader::start()
{
    m_thread = std::thread([this] { run(); });
}

void RolloutLeader::resign()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_resigning = true;
    }
    m_changed.notify_all();
}

void RolloutLeader::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void RolloutLeader::update(bool needed, std::vector<std::string> candidates,
                           SteadyTime lastProgress)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_candidates = std::move(candidates);
    m_lastProgress = lastProgress;
    if (m_platformStore.era() != m_storeEra) {
        m_storeEra = m_platformStore.era();
        m_storeEraSince = bootTime();
    }
    if (needed == m_needed)
        return;
    m_needed = needed;
    m_neededSince = std::chrono::steady_clock::now();
    if (needed)
        m_changed.notify_all();
}

void RolloutLeader::run()
{
    if (!pause(milliseconds(m_ownHash % StartJitterMs)))
        return;
    guarded([this] { readRecordAtStart(); });
    while (waitForWork()) {
        guarded([this] { runOnce(); });
        if (!pause(m_holds ? RoundInterval : StandbyInterval))
            break;
    }
    guarded([this] { releaseLease(); });
}

void RolloutLeader::guarded(const std::function<void()> &step)
{
    try {
        step();
    } catch (const std::exception &error) {
        // A lease record that this release can't read; another router may hold the lease.
        EventLine("lease.step_failed").add("reason", error.what());
    }
}

void RolloutLeader::releaseLease()
{
    if (!m_lease.held(bootTime()))
        return;
    const auto lastOrder = runOnLoop([this] { return m_rollout.revoke(); });
    if (!lastOrder)
        return; // The loop has stopped, so the lease is left to expire.
    const SteadyTime ordersEnd =
            std::max(*lastOrder, m_lease.previousOrdersEnd().value_or(SteadyTime()));
    m_lease.release(std::max(std::chrono::duration_cast<milliseconds>(bootTime() - ordersEnd),
                             milliseconds(0)));
    m_holds = false;
}

std::optional<SteadyTime> RolloutLeader::runOnLoop(std::function<SteadyTime()> task)
{
    const auto packaged = std::make_shared<std::packaged_task<SteadyTime()>>(std::move(task));
    auto done = packaged->get_future();
    boost::asio::post(m_context.loop, [packaged] { (*packaged)(); });
    if (done.wait_for(LoopTimeout) != std::future_status::ready)
        return std::nullopt;
    return done.get();
}

void RolloutLeader::readRecordAtStart()
{
    const auto result = m_staleStore->read(LeaseObject, StoreTimeout);
    if (std::holds_alternative<Absent>(result))
        requestLease(); // The first router of a new fleet becomes the holder.
    const auto *object = std::get_if<StoredObject>(&result);
    if (!object)
        return;
    const LeaseRecord record = decodeLease(object->value);
    boost::asio::post(m_context.loop,
                      [this, note = record.note] { restoreNamedWeights(m_context.weights, note); });
    const bool isOwn = record.holder == m_context.settings.name
                       && record.incarnation == vmIncarnation(m_context.settings);
    if (isOwn)
        requestLease(); // This VM's previous process held the lease.
}

void RolloutLeader::requestLease()
{
    m_lease.maintain(bootTime);
    logHolderChange();
}

void RolloutLeader::recordStoreEra()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::uint64_t era = m_storeEra;
    const SteadyTime since = m_storeEraSince;
    lock.unlock();
    if (era == 0)
        return;
    m_lease.recordEra(era, since);
    logHolderChange();
}

void RolloutLeader::writeNote()
{
    const auto note = std::make_shared<std::string>();
    const auto written = runOnLoop([this, note] {
        *note = serializeNamedWeights(m_context.weights);
        return SteadyTime();
    });
    if (written)
        m_lease.setNote(*note);
}

bool RolloutLeader::waitForWork()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto ready = [this] { return m_needed || m_resigning || m_stopping; };
    while (!m_changed.wait_for(lock, IdleStandbyInterval, ready)) {
        if (!isFirstCandidate())
            continue;
        lock.unlock();
        recordStoreEra();
        guarded([this] { m_lease.observe(bootTime); });
        lock.lock();
    }
    return !m_resigning && !m_stopping;
}

bool RolloutLeader::isFirstCandidate() const
{
    const auto first =
            std::find_if(m_candidates.begin(), m_candidates.end(),
                         [&](const std::string &name) { return name != m_lease.lastSeenHolder(); });
    return first != m_candidates.end() && *first == m_context.settings.name;
}

bool RolloutLeader::shouldRequestLease(SteadyTime now)
{
    const std::string &holder = m_lease.lastSeenHolder();
    if (m_lease.held(bootTime()) || holder == m_context.settings.name)
        return true;
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (isFirstCandidate())
        return now >= m_neededSince + HolderGracePeriod;
    const auto delay = MinStandbyDelay + milliseconds(m_ownHash % StandbyJitterMs);
    return now >= std::max(m_neededSince, m_lastProgress) + delay;
}

void RolloutLeader::runOnce()
{
    recordStoreEra();
    if (!shouldRequestLease(std::chrono::steady_clock::now()))
        return;
    const auto now = bootTime();
    if (!m_lease.held(now) || m_lease.heldUntil() - now < RenewalMargin) {
        writeNote();
        requestLease();
    }
    if (m_lease.mayOrder(bootTime()) && bootTime() >= earliestOrderTime())
        postStep({m_context.settings.name, m_lease.fencing(), m_lease.heldUntil()});
}

SteadyTime RolloutLeader::earliestOrderTime() const
{
    const auto ordersEnd = m_lease.previousOrdersEnd();
    return ordersEnd ? *ordersEnd + m_context.settings.leaseHandoverInterval + HandoverMargin
                     : SteadyTime();
}

void RolloutLeader::logHolderChange()
{
    const bool holds = m_lease.held(bootTime());
    if (holds == m_holds.exchange(holds))
        return;
    EventLine("lease.changed")
            .add("held", holds)
            .add("fencing", m_lease.fencing())
            .add("holder", m_lease.lastSeenHolder())
            .add("store_era", m_lease.storeEra());
}

void RolloutLeader::postStep(const LeaseGrant &grant)
{
    boost::asio::post(m_context.loop, [this, grant] { m_rollout.step(grant); });
}

bool RolloutLeader::pause(milliseconds duration)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    return !m_changed.wait_for(lock, duration, [this] { return m_resigning || m_stopping; });
}

} // namespace almondmill
