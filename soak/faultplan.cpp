#include "faultplan.h"

#include "soakhistory.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <initializer_list>
#include <random>

namespace almondmill::soak {

namespace {

using std::chrono::milliseconds;

/// Mean interval between faults. A fault can last several seconds, so that several overlap.
constexpr double MeanIntervalMs = 700;

/// Ratio of faults that are followed by others of the same kind, SeriesInterval apart.
constexpr double SeriesRatio = 0.25;
constexpr int MaxSeriesLength = 4;
constexpr milliseconds SeriesInterval{250};

/// Mean interval between returns of the store, in soaks with such.
constexpr double MeanReturnIntervalMs = 4000;

class Planner
{
public:
    Planner(std::uint64_t seed, const SoakSize &size)
        : m_random(seed)
        , m_size(size)
    {}

    std::vector<PlannedFault> plan(milliseconds length)
    {
        std::vector<PlannedFault> faults;
        milliseconds at(0);
        std::exponential_distribution<double> pause(1 / MeanIntervalMs);
        for (;;) {
            at += milliseconds(static_cast<std::int64_t>(pause(m_random)));
            if (at >= length)
                break;
            const std::size_t kind = pick(KindCount);
            const int times =
                    chance(SeriesRatio) ? 2 + static_cast<int>(pick(MaxSeriesLength - 1)) : 1;
            for (int time = 0; time < times && at + time * SeriesInterval < length; ++time)
                faults.push_back({at + time * SeriesInterval, make(kind)});
        }
        std::stable_sort(faults.begin(), faults.end(),
                         [](const PlannedFault &first, const PlannedFault &second) {
                             return first.at < second.at;
                         });
        return faults;
    }

private:
    static constexpr std::size_t KindCount = 22;

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    milliseconds between(int least, int most)
    {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(m_random));
    }

    std::size_t router() { return pick(m_size.routers); }
    std::size_t endpoint() { return pick(m_size.endpoints); }

    template<typename Kind>
    Kind oneOf(std::initializer_list<Kind> kinds)
    {
        return kinds.begin()[pick(kinds.size())];
    }

    LinkFault linkFault()
    {
        return oneOf({LinkFault::Reset, LinkFault::Delay, LinkFault::StallToTarget,
                      LinkFault::StallToCaller, LinkFault::StallBoth});
    }

    StoreFault storeFault()
    {
        return oneOf({StoreFault::Busy, StoreFault::Unresponsive, StoreFault::Slow,
                      StoreFault::LoseAnswer, StoreFault::ForgetHistory});
    }

    ConfigurationStep configurationStep()
    {
        return oneOf({ConfigurationStep::AddRoute, ConfigurationStep::RemoveRoute,
                      ConfigurationStep::MoveService, ConfigurationStep::AddKey,
                      ConfigurationStep::RemoveKey});
    }

    Fault make(std::size_t kind)
    {
        switch (kind) {
        case 0:
        case 1:
            return KillRouter{router(), between(100, 1500)};
        case 2:
        case 3:
            return StopRouter{router()};
        case 4:
        case 5:
            return PauseRouter{router(), between(200, 4500)};
        case 6:
            return chance(0.3) ? Fault(KillAllRouters{between(100, 800)})
                               : Fault(ReloadRouter{router()});
        case 7:
        case 8:
            return DisturbStoreLink{router(), linkFault(), between(300, 5000)};
        case 9:
            return DisturbCallerLink{router(), linkFault(), between(200, 2000)};
        case 10:
        case 11:
            return DisturbEndpoint{endpoint(), linkFault(), between(200, 4000)};
        case 12:
            return DisturbStore{storeFault(), between(300, 4500)};
        case 13:
        case 14:
            return CrashEndpoint{endpoint(), between(200, 4000), chance(0.3), chance(0.3)};
        case 15:
            return ReplaceEndpoint{endpoint(), between(0, 3000), chance(0.5)};
        case 16:
            return FailRequests{endpoint(), 0.1 + 0.1 * static_cast<double>(pick(5)),
                                between(500, 4000)};
        case 17:
        case 18:
            return ChangeConfiguration{configurationStep()};
        case 19:
        case 20:
            return LimitRate{endpoint(), 0.5 * static_cast<double>(pick(12)), between(2000, 12000)};
        default:
            return PublishWeights{};
        }
    }

    std::mt19937_64 m_random;
    SoakSize m_size;
};

const char *nameOf(LinkFault fault)
{
    switch (fault) {
    case LinkFault::Reset:
        return "reset";
    case LinkFault::Delay:
        return "slowed down";
    case LinkFault::StallToTarget:
        return "stalled towards the target";
    case LinkFault::StallToCaller:
        return "stalled towards the caller";
    case LinkFault::StallBoth:
        return "stalled in both directions";
    }
    return "";
}

const char *nameOf(StoreFault fault)
{
    switch (fault) {
    case StoreFault::Busy:
        return "busy";
    case StoreFault::Unresponsive:
        return "unresponsive";
    case StoreFault::Slow:
        return "slow";
    case StoreFault::LoseAnswer:
        return "applying changes without answering";
    case StoreFault::ForgetHistory:
        return "discarding its change history";
    }
    return "";
}

const char *nameOf(ConfigurationStep step)
{
    switch (step) {
    case ConfigurationStep::AddRoute:
        return "adds a route";
    case ConfigurationStep::RemoveRoute:
        return "removes a route";
    case ConfigurationStep::MoveService:
        return "moves the plain routes to the other service";
    case ConfigurationStep::AddKey:
        return "adds a key";
    case ConfigurationStep::RemoveKey:
        return "removes a key";
    }
    return "";
}

struct Describer
{
    std::string operator()(const KillRouter &fault) const
    {
        return absl::StrCat("kill ", routerName(fault.router), ", down for ",
                            fault.downtime.count(), " ms");
    }
    std::string operator()(const StopRouter &fault) const
    {
        return absl::StrCat("terminate ", routerName(fault.router));
    }
    std::string operator()(const PauseRouter &fault) const
    {
        return absl::StrCat("pause ", routerName(fault.router), " for ", fault.duration.count(),
                            " ms");
    }
    std::string operator()(const ReloadRouter &fault) const
    {
        return absl::StrCat("reload ", routerName(fault.router));
    }
    std::string operator()(const KillAllRouters &fault) const
    {
        return absl::StrCat("kill all routers, down for ", fault.downtime.count(), " ms");
    }
    std::string operator()(const DisturbStoreLink &fault) const
    {
        return absl::StrCat("store link of ", routerName(fault.router), " ", nameOf(fault.fault),
                            " for ", fault.duration.count(), " ms");
    }
    std::string operator()(const DisturbCallerLink &fault) const
    {
        return absl::StrCat("callers' link of ", routerName(fault.router), " ", nameOf(fault.fault),
                            " for ", fault.duration.count(), " ms");
    }
    std::string operator()(const DisturbEndpoint &fault) const
    {
        return absl::StrCat("link of endpoint ", fault.endpoint + 1, " ", nameOf(fault.fault),
                            " for ", fault.duration.count(), " ms");
    }
    std::string operator()(const DisturbStore &fault) const
    {
        return absl::StrCat("store ", nameOf(fault.fault), " for ", fault.duration.count(), " ms");
    }
    std::string operator()(const CrashEndpoint &fault) const
    {
        return absl::StrCat("crash endpoint ", fault.endpoint + 1, ", restarted after ",
                            fault.downtime.count(), " ms", fault.sameId ? " with the same id" : "",
                            fault.otherService ? " for the other service" : "");
    }
    std::string operator()(const ReplaceEndpoint &fault) const
    {
        return absl::StrCat("replace endpoint ", fault.endpoint + 1, ", serving for ",
                            fault.serveAfterDeadline.count(), " ms after its drain deadline",
                            fault.isRegisteredAsDraining ? "" : ", not registered as draining");
    }
    std::string operator()(const FailRequests &fault) const
    {
        return absl::StrCat("endpoint ", fault.endpoint + 1, " fails ", fault.ratio,
                            " of its requests for ", fault.duration.count(), " ms");
    }
    std::string operator()(const LimitRate &fault) const
    {
        return absl::StrCat("endpoint ", fault.endpoint + 1, " names a limit of ", fault.perSecond,
                            " requests per second for ", fault.duration.count(), " ms");
    }
    std::string operator()(const ChangeConfiguration &fault) const
    {
        return absl::StrCat("the operator ", nameOf(fault.step));
    }
    std::string operator()(const PublishWeights &) const
    {
        return "the operator publishes new weights";
    }
    std::string operator()(const ReturnStore &fault) const
    {
        return absl::StrCat("the store returns to a copy of ", fault.age.count(),
                            " ms before; the operator writes again after ",
                            fault.rewriteAfter.count(), " ms");
    }
};

} // namespace

std::vector<PlannedFault> planFaults(std::uint64_t seed, milliseconds length, const SoakSize &size)
{
    return Planner(seed, size).plan(length);
}

std::vector<PlannedFault> planReturns(std::uint64_t seed, milliseconds length)
{
    // Independent of the other faults of the seed.
    std::mt19937_64 random(~seed);
    std::exponential_distribution<double> pause(1 / MeanReturnIntervalMs);
    std::uniform_int_distribution<int> age(200, 6000);
    std::uniform_int_distribution<int> rewriteAfter(50, 1500);
    std::uniform_int_distribution<int> weightsAfter(-2500, 2500);
    std::vector<PlannedFault> returns;
    std::vector<PlannedFault> weights;
    for (milliseconds at(0);;) {
        at += milliseconds(static_cast<std::int64_t>(pause(random)));
        if (at >= length)
            break;
        returns.push_back(
                {at, ReturnStore{milliseconds(age(random)), milliseconds(rewriteAfter(random))}});
        // The holder of the lease orders around the return.
        weights.push_back({std::max(at + milliseconds(weightsAfter(random)), milliseconds(0)),
                           PublishWeights{}});
    }
    return merged(std::move(returns), std::move(weights));
}

std::vector<PlannedFault> merged(std::vector<PlannedFault> first, std::vector<PlannedFault> second)
{
    first.insert(first.end(), second.begin(), second.end());
    std::stable_sort(
            first.begin(), first.end(),
            [](const PlannedFault &one, const PlannedFault &other) { return one.at < other.at; });
    return first;
}

std::string describe(const Fault &fault)
{
    return std::visit(Describer{}, fault);
}

} // namespace almondmill::soak
