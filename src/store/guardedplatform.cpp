#include "almondmill/store/guardedplatform.h"

#include "almondmill/kernel/log.h"
#include "almondmill/metrics/metrics.h"

#include <random>

namespace almondmill {

namespace {

constexpr const char *OpenReason = "the platform is out; not called";

double nextJitter()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

template<typename... Kinds>
bool isAnswer(const std::variant<Kinds...> &result)
{
    const auto *notApplied = [&]() -> const NotApplied * {
        if constexpr ((std::is_same_v<Kinds, NotApplied> || ...))
            return std::get_if<NotApplied>(&result);
        else
            return nullptr;
    }();
    if (notApplied)
        return false;
    if constexpr ((std::is_same_v<Kinds, OutcomeUnknown> || ...))
        return !std::holds_alternative<OutcomeUnknown>(result);
    else
        return !std::holds_alternative<Unavailable>(result);
}

} // namespace

GuardedPlatform::GuardedPlatform(std::unique_ptr<Platform> inner, Metrics &metrics, Clock clock)
    : m_inner(std::move(inner))
    , m_refused(metrics.counter("almondmill_platform_not_called_total"))
    , m_clock(std::move(clock))
{}

GuardedPlatform::~GuardedPlatform() = default;

template<typename Refused, typename Result, typename Call>
Result GuardedPlatform::guard(Call &&call)
{
    if (!allow()) {
        m_refused.add();
        return Refused{OpenReason};
    }
    Result result = call();
    tell(isAnswer(result));
    return result;
}

ReadResult GuardedPlatform::read(const std::string &name, std::chrono::milliseconds timeout)
{
    return guard<Unavailable, ReadResult>([&] { return m_inner->read(name, timeout); });
}

ListResult GuardedPlatform::list(const std::string &prefix, std::chrono::milliseconds timeout)
{
    return guard<Unavailable, ListResult>([&] { return m_inner->list(prefix, timeout); });
}

WatchResult GuardedPlatform::watch(const std::string &prefix, std::uint64_t revision,
                                   std::chrono::milliseconds wait)
{
    return guard<Unavailable, WatchResult>([&] { return m_inner->watch(prefix, revision, wait); });
}

UpdateResult GuardedPlatform::createIfAbsent(const std::string &name, const std::string &value,
                                             std::chrono::milliseconds timeout)
{
    return guard<NotApplied, UpdateResult>(
            [&] { return m_inner->createIfAbsent(name, value, timeout); });
}

UpdateResult GuardedPlatform::update(const std::string &name, const std::string &value,
                                     std::uint64_t expectedVersion,
                                     std::chrono::milliseconds timeout)
{
    return guard<NotApplied, UpdateResult>(
            [&] { return m_inner->update(name, value, expectedVersion, timeout); });
}

UpdateResult GuardedPlatform::remove(const std::string &name, std::uint64_t expectedVersion,
                                     std::chrono::milliseconds timeout)
{
    return guard<NotApplied, UpdateResult>(
            [&] { return m_inner->remove(name, expectedVersion, timeout); });
}

VmListResult GuardedPlatform::vms(std::chrono::milliseconds timeout)
{
    return guard<Unavailable, VmListResult>([&] { return m_inner->vms(timeout); });
}

bool GuardedPlatform::allow()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_circuit.allow(m_clock());
}

void GuardedPlatform::tell(bool answered)
{
    const double jitter = nextJitter();
    Circuit::State before{};
    Circuit::State after{};
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        before = m_circuit.state();
        if (answered)
            m_circuit.succeeded(m_clock());
        else
            m_circuit.failed(m_clock(), jitter);
        after = m_circuit.state();
    }
    if (before != Circuit::State::Open && after == Circuit::State::Open)
        log(LogLevel::Warning, "platform", "The platform gives no answers: few calls go out.");
    if (before == Circuit::State::Open && after != Circuit::State::Open)
        log(LogLevel::Info, "platform", "The platform answers again.");
}

} // namespace almondmill
