#pragma once

#include "almondmill/admission/fairshares.h"
#include "almondmill/admission/serviceload.h"
#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace almondmill::test {

/// Requests of one kind and account.
struct DemandSource
{
    std::string account;
    std::size_t level = 0;
    std::chrono::milliseconds target{0};
    std::chrono::milliseconds residence{0};
    std::function<double(std::chrono::milliseconds)> perSecond; ///< At that time of the run.
};

/// What became of the requests of a source.
struct SourceResult
{
    std::size_t offered = 0;
    std::size_t refused = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::map<std::size_t, std::pair<std::size_t, std::size_t>> bySecond; ///< Offered, refused.
};

/// Routers that admit requests to the slots of a service on their own, with reports of a third of
/// the others (of all in fleets up to 14) that are two seconds old. The slots take the most urgent
/// request first.
class SlotFleet
{
public:
    SlotFleet(std::size_t routers, double slots, bool admits, std::uint64_t seed);

    std::vector<SourceResult> run(const std::vector<DemandSource> &sources,
                                  std::chrono::seconds duration);

private:
    struct Router
    {
        ServiceLoad::ByLevel open{};
        ServiceLoad::ByLevel average{};
        ServiceLoad::ByLevel peers{};
        FairShares shares;
    };
    struct Waiting
    {
        std::size_t source;
        std::size_t router;
        SteadyTime since;
    };

    void report();
    void arrive(std::size_t source);
    bool isRefused(const DemandSource &source, Router &router);
    void fill();

    std::vector<Router> m_routers;
    double m_slots;
    bool m_admits;
    std::mt19937_64 m_random;
    SteadyTime m_start{std::chrono::hours(1)};
    SteadyTime m_now = m_start;
    std::vector<DemandSource> m_sources;
    std::vector<SourceResult> m_results;
    std::deque<std::vector<ServiceLoad::ByLevel>> m_reports;
    std::vector<std::deque<Waiting>> m_waiting;
    std::multimap<SteadyTime, std::pair<std::size_t, std::size_t>> m_ends; ///< Router and level.
    double m_residenceMs = 0;
};

} // namespace almondmill::test
