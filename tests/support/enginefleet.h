#pragma once

#include "almondmill/forward/endpointperformance.h"
#include "almondmill/forward/serviceperformance.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/endpointload.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace almondmill::test {

/// What a run of the fleet gave in its second half.
struct EndpointFigures
{
    double lateShare = 0; ///< Requests whose first event came after the target.
    std::chrono::nanoseconds firstEvent95{0};
    double shareOfTurnedSlow = 0; ///< Requests that went to the engine that turned slow.
};

/// Routers that place prompts at engines of speed 0.6, 1 and 1.6 on a clock of their own, with the
/// learnt figures or the initial ones. Each knows the load of the others averaged over a second.
/// The first engine turns four times as slow after a quarter of the run.
class EngineFleet
{
public:
    struct Shape
    {
        std::size_t routers = 1;
        std::size_t engines = 1;
        bool learns = true;
        std::uint64_t seed = 0;
    };

    explicit EngineFleet(const Shape &shape);

    EndpointFigures run(std::chrono::seconds duration);

private:
    struct Request
    {
        std::size_t router = 0;
        SteadyTime sentAt;
        bool startsAtOnce = false;
    };
    struct Engine
    {
        double speed = 1;
        std::uint32_t running = 0;
        std::deque<Request> waiting;
        SteadyTime prefillsUntil;
        EndpointLoad load;
        EndpointLoad reported;
    };
    struct Router
    {
        ServicePerformance service;
        std::vector<EndpointPerformance> endpoints;
        std::vector<EndpointLoad> own;
    };

    void at(SteadyTime time, std::function<void()> event);
    void arrive();
    void report();
    void exchangeSamples();
    std::size_t place(const Router &router);
    void start(std::size_t engine, Request request);
    void end(std::size_t engine, const Request &request, const AnswerTiming &timing);

    Shape m_shape;
    std::mt19937_64 m_random;
    SteadyTime m_now;
    SteadyTime m_middle;
    std::multimap<SteadyTime, std::function<void()>> m_events;
    std::vector<Engine> m_engines;
    std::vector<Router> m_routers;
    std::vector<std::chrono::nanoseconds> m_firstEvents;
    std::size_t m_toTurnedSlow = 0;
    std::size_t m_counted = 0;
};

} // namespace almondmill::test
