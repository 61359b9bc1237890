#include "almondmill/rollout/rolloutleader.h"

#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/observe/eventline.h"
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

/// A VM runs one process at a time, and all of its orders count as one holder's: a process that
/// comes after another on the same VM goes on with its lease.
constexpr std::uint64_t OneProcessAVm = 1;

constexpr milliseconds StoreTimeout{500};

/// Between two rounds of a roll-out; engines take several times as long to load.
constexpr milliseconds RoundInterval{150};

/// The lease is renewed when less than this is left of it.
constexpr milliseconds RenewBefore{1300};

/// The first in line after the holder reads the lease this often while a roll-out goes on, so that
/// it knows soon when it is not renewed any more.
constexpr milliseconds StandbyInterval{700};

/// And this often while there is none, so that a holder that is gone is known as such beforehand.
constexpr milliseconds IdleStandbyInterval{4000};

/// Before that the holder has its chance to renew the lease at the begin of a roll-out.
constexpr milliseconds HolderStart{400};

/// The others ask for the lease when there was no progress for this long, one after the other.
constexpr milliseconds LeastStandby{3500};
constexpr std::uint64_t StandbySpreadMs = 2500;

/// The event loop does a short task within this time, unless it has stopped.
constexpr milliseconds LoopTimeout{500};

/// Added to the least time between the orders of two holders, for their ways to the engines.
constexpr milliseconds TurnMargin{100};

/// Routers that start together ask for the first lease within this time.
constexpr std::uint64_t StartSpreadMs = 1500;

LeaseOptions leaseOptions(const ForwardingContext &context)
{
    LeaseOptions options;
    options.objectName = LeaseObject;
    options.holder = context.settings.name;
    options.incarnation = OneProcessAVm;
    options.duration = OrderLeaseDuration;
    options.orderTimeout = OrderTimeout;
    options.storeTimeout = StoreTimeout;
    return options;
}

} // namespace

RolloutLeader::RolloutLeader(ForwardingContext &context, AsyncStore &store, WeightsRollout &rollout)
    : m_context(context)
    , m_rollout(rollout)
    , m_store(std::make_unique<BlockingStore>(context.loop, store, ObjectKind::Leases))
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

void RolloutLeader::update(bool needed, std::vector<std::string> line, SteadyTime lastProgress)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_line = std::move(line);
    m_lastProgress = lastProgress;
    if (needed == m_needed)
        return;
    m_needed = needed;
    m_neededSince = std::chrono::steady_clock::now();
    if (needed)
        m_changed.notify_all();
}

void RolloutLeader::run()
{
    // Whoever comes first at the start of all routers holds the lease from then on.
    if (!pause(milliseconds(m_ownHash % StartSpreadMs)))
        return;
    m_lease.maintain(bootTime);
    noteHolder();
    readNote();
    while (waitForWork()) {
        runOnce();
        if (!pause(m_holds ? RoundInterval : StandbyInterval))
            break;
    }
    giveUp();
}

void RolloutLeader::giveUp()
{
    if (!m_lease.held(bootTime()))
        return;
    const auto lastOrder = onLoop([this] { return m_rollout.revoke(); });
    if (!lastOrder)
        return; // The loop has stopped: the lease runs out by itself.
    const SteadyTime ordersEnd =
            std::max(*lastOrder, m_lease.previousOrdersEnd().value_or(SteadyTime()));
    m_lease.release(std::max(std::chrono::duration_cast<milliseconds>(bootTime() - ordersEnd),
                             milliseconds(0)));
    m_holds = false;
}

std::optional<SteadyTime> RolloutLeader::onLoop(std::function<SteadyTime()> task)
{
    const auto packaged = std::make_shared<std::packaged_task<SteadyTime()>>(std::move(task));
    auto done = packaged->get_future();
    boost::asio::post(m_context.loop, [packaged] { (*packaged)(); });
    if (done.wait_for(LoopTimeout) != std::future_status::ready)
        return std::nullopt;
    return done.get();
}

void RolloutLeader::readNote()
{
    const std::string note = m_lease.lastSeenNote();
    boost::asio::post(m_context.loop, [this, note] { learnNamedWeights(m_context.weights, note); });
}

void RolloutLeader::writeNote()
{
    const auto note = std::make_shared<std::string>();
    const auto written = onLoop([this, note] {
        *note = describeNamedWeights(m_context.weights);
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
        if (!isFirstInLine())
            continue;
        lock.unlock();
        m_lease.observe(bootTime);
        lock.lock();
    }
    return !m_resigning && !m_stopping;
}

bool RolloutLeader::isFirstInLine() const
{
    const auto first = std::find_if(m_line.begin(), m_line.end(), [&](const std::string &name) {
        return name != m_lease.lastSeenHolder();
    });
    return first != m_line.end() && *first == m_context.settings.name;
}

bool RolloutLeader::isOwnTurn(SteadyTime now)
{
    const std::string &holder = m_lease.lastSeenHolder();
    if (m_lease.held(bootTime()) || holder == m_context.settings.name)
        return true;
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (isFirstInLine())
        return now >= m_neededSince + HolderStart;
    const auto delay = LeastStandby + milliseconds(m_ownHash % StandbySpreadMs);
    return now >= std::max(m_neededSince, m_lastProgress) + delay;
}

void RolloutLeader::runOnce()
{
    if (!isOwnTurn(std::chrono::steady_clock::now()))
        return;
    const auto now = bootTime();
    if (!m_lease.held(now) || m_lease.heldUntil() - now < RenewBefore) {
        writeNote();
        m_lease.maintain(bootTime);
        noteHolder();
    }
    if (m_lease.mayOrder(bootTime()) && bootTime() >= orderFrom())
        stepOnLoop({m_context.settings.name, m_lease.fencing(), m_lease.heldUntil()});
}

SteadyTime RolloutLeader::orderFrom() const
{
    const auto ordersEnd = m_lease.previousOrdersEnd();
    return ordersEnd ? *ordersEnd + m_context.settings.leaseTurn + TurnMargin : SteadyTime();
}

void RolloutLeader::noteHolder()
{
    const bool holds = m_lease.held(bootTime());
    if (holds == m_holds.exchange(holds))
        return;
    EventLine("lease.changed")
            .add("held", holds)
            .add("fencing", m_lease.fencing())
            .add("holder", m_lease.lastSeenHolder());
}

void RolloutLeader::stepOnLoop(const OrderRight &right)
{
    boost::asio::post(m_context.loop, [this, right] { m_rollout.step(right); });
}

bool RolloutLeader::pause(milliseconds duration)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    return !m_changed.wait_for(lock, duration, [this] { return m_resigning || m_stopping; });
}

} // namespace almondmill
