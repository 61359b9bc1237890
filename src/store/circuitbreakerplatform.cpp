#include "almondmill/store/circuitbreakerplatform.h"

#include "almondmill/kernel/log.h"
#include "almondmill/metrics/metrics.h"

#include <random>

namespace almondmill {

namespace {

constexpr const char *CircuitOpenReason = "platform not called: circuit breaker is open";

double nextJitter()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

template<typename... Kinds>
bool isAnswered(const std::variant<Kinds...> &result)
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

CircuitBreakerPlatform::CircuitBreakerPlatform(std::unique_ptr<Platform> inner, Metrics &metrics,
                                               Clock clock)
    : m_inner(std::move(inner))
    , m_notCalled(metrics.counter("almondmill_platform_not_called_total"))
    , m_clock(std::move(clock))
{}

CircuitBreakerPlatform::~CircuitBreakerPlatform() = default;

template<typename NotCalled, typename Result, typename Call>
Result CircuitBreakerPlatform::callIfAllowed(Call &&call)
{
    if (!allow()) {
        m_notCalled.add();
        return NotCalled{CircuitOpenReason};
    }
    Result result = call();
    recordResult(isAnswered(result));
    return result;
}

ReadResult CircuitBreakerPlatform::read(const std::string &name, std::chrono::milliseconds timeout)
{
    return callIfAllowed<Unavailable, ReadResult>([&] { return m_inner->read(name, timeout); });
}

ListResult CircuitBreakerPlatform::list(const std::string &prefix,
                                        std::chrono::milliseconds timeout)
{
    return callIfAllowed<Unavailable, ListResult>([&] { return m_inner->list(prefix, timeout); });
}

WatchResult CircuitBreakerPlatform::watch(const std::string &prefix, std::uint64_t revision,
                                          std::chrono::milliseconds wait)
{
    return callIfAllowed<Unavailable, WatchResult>(
            [&] { return m_inner->watch(prefix, revision, wait); });
}

UpdateResult CircuitBreakerPlatform::createIfAbsent(const std::string &name,
                                                    const std::string &value,
                                                    std::chrono::milliseconds timeout)
{
    return callIfAllowed<NotApplied, UpdateResult>(
            [&] { return m_inner->createIfAbsent(name, value, timeout); });
}

UpdateResult CircuitBreakerPlatform::update(const std::string &name, const std::string &value,
                                            std::uint64_t expectedVersion,
                                            std::chrono::milliseconds timeout)
{
    return callIfAllowed<NotApplied, UpdateResult>(
            [&] { return m_inner->update(name, value, expectedVersion, timeout); });
}

UpdateResult CircuitBreakerPlatform::remove(const std::string &name, std::uint64_t expectedVersion,
                                            std::chrono::milliseconds timeout)
{
    return callIfAllowed<NotApplied, UpdateResult>(
            [&] { return m_inner->remove(name, expectedVersion, timeout); });
}

VmListResult CircuitBreakerPlatform::vms(std::chrono::milliseconds timeout)
{
    return callIfAllowed<Unavailable, VmListResult>([&] { return m_inner->vms(timeout); });
}

bool CircuitBreakerPlatform::allow()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_circuitBreaker.allow(m_clock());
}

void CircuitBreakerPlatform::recordResult(bool answered)
{
    const double jitter = nextJitter();
    CircuitBreaker::State before{};
    CircuitBreaker::State after{};
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        before = m_circuitBreaker.state();
        if (answered)
            m_circuitBreaker.recordSuccess(m_clock());
        else
            m_circuitBreaker.recordFailure(m_clock(), jitter);
        after = m_circuitBreaker.state();
    }
    if (before != CircuitBreaker::State::Open && after == CircuitBreaker::State::Open)
        log(LogLevel::Warning, "platform",
            "Circuit breaker opened after failed calls: only probes are sent to the platform.");
    if (before == CircuitBreaker::State::Open && after != CircuitBreaker::State::Open)
        log(LogLevel::Info, "platform",
            "A probe of the platform succeeded: call rate is being restored.");
}

} // namespace almondmill
