#include "parttrouble.h"

#include "casesetup.h"
#include "channel.h"
#include "deployment.h"
#include "record.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace review {

namespace {

using std::chrono::milliseconds;
using Time = std::chrono::steady_clock::time_point;

constexpr const char *CrashingPart = "dead";
constexpr int Routers = 3;

/// The bound `stable_window_ms` of the small installations.
constexpr milliseconds StableWindow{3000};

constexpr milliseconds CalmTime{8000};
constexpr milliseconds TroubledTime{30000};
constexpr milliseconds SoundInterval{100};
constexpr milliseconds Timeout{4500};
constexpr int DeadlineMs = 4500;

/// The rules' numbers.
constexpr std::size_t CrashesBeforeBounds = 5;
constexpr int MostRequests = 3;
constexpr int LeastSound = 20;

/// Whether a sound request began, and when it was sent.
struct Outcome
{
    Time sentAt;
    bool began;
};

/// Sends a request with the part `shared` and reads up to its first event. Returns the status; 0
/// without an event.
int attempt(RouterProcess &router, const std::string &id, const std::string &shared,
            const std::string &fields, int &lastEvent)
{
    const auto deadline = std::chrono::steady_clock::now() + Timeout;
    Channel channel = Channel::connect(router.callers(), Timeout);
    if (!channel.isOpen())
        return 0;
    channel.send("POST /verdict/history HTTP/1.1\r\n" + commonFields(id, DeadlineMs) + fields
                         + "Model: reed\r\nToken-Usage: 400,3\r\nPrompt-Prefix: c0:200," + shared
                         + ":100," + id + ":100\r\nContent-Length: 0\r\n\r\n",
                 deadline);
    const auto head = channel.readHead(deadline);
    if (!head || head->status() != 200)
        return head ? head->status() : 0;
    while (channel.buffer().find("id: ") == std::string::npos && channel.readSome(deadline)) {
    }
    const bool began = channel.buffer().find("id: ") != std::string::npos;
    while (channel.readSome(deadline) && channel.buffer().find("\r\n0\r\n") == std::string::npos) {
    }
    const auto last = channel.buffer().rfind("id: ");
    if (last != std::string::npos)
        lastEvent = std::atoi(channel.buffer().c_str() + last + 4);
    return began ? 200 : 0;
}

/// Callers at all routers in turn.
class Callers
{
public:
    Callers(Deployment &deployment, Record &record)
        : m_deployment(deployment)
        , m_record(record)
    {}

    void sendSound(int number)
    {
        RouterProcess &router = m_deployment.router(number % Routers);
        start([this, number, &router] {
            const Time sentAt = std::chrono::steady_clock::now();
            const std::string id = "50" + std::to_string(1000 + number);
            int lastEvent = 0;
            const std::string shared = "5a" + std::to_string(number % 40);
            const int status = attempt(router, id, shared, "", lastEvent);
            m_record.write("sound " + id + " at " + router.name() + ": " + std::to_string(status));
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_outcomes.push_back({sentAt, status == 200});
        });
    }

    void sendCrashing(int number)
    {
        RouterProcess &router = m_deployment.router(number % Routers);
        start([this, number, &router] {
            const std::string id = "cc" + std::to_string(1000 + number);
            int lastEvent = 0;
            const int status = attempt(router, id, CrashingPart, "", lastEvent);
            m_record.write("crashing " + id + " at " + router.name() + ": " + std::to_string(status)
                           + ", last event " + std::to_string(lastEvent));
        });
    }

    void join()
    {
        for (std::thread &thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    /// Sound requests sent from `begin` to `end`: how many, and how many of them began.
    std::pair<int, int> count(Time begin, Time end)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::pair<int, int> result;
        for (const Outcome &outcome : m_outcomes) {
            if (outcome.sentAt < begin || outcome.sentAt >= end)
                continue;
            ++result.first;
            result.second += outcome.began ? 1 : 0;
        }
        return result;
    }

private:
    template<typename Call>
    void start(Call call)
    {
        m_threads.emplace_back(std::move(call));
    }

    Deployment &m_deployment;
    Record &m_record;
    std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
    std::vector<std::thread> m_threads;
};

std::vector<Time> crashesOf(const Deployment &deployment)
{
    std::vector<Time> all;
    for (const auto &endpoint : deployment.endpoints()) {
        const auto crashes = endpoint->crashes();
        all.insert(all.end(), crashes.begin(), crashes.end());
    }
    std::sort(all.begin(), all.end());
    return all;
}

int requestsWithPart(const Deployment &deployment, Time from)
{
    const auto runs = deployment.runs();
    return static_cast<int>(std::count_if(runs.begin(), runs.end(), [&](const Endpoint::Run &run) {
        return run.at > from && run.parts.find(CrashingPart) != std::string::npos;
    }));
}

int judge(Deployment &deployment, Record &record, Callers &callers, Time troubleAt, Time endAt)
{
    const auto crashes = crashesOf(deployment);
    const auto [calm, calmBegan] = callers.count(Time(), troubleAt);
    record.write(std::to_string(crashes.size()) + " crashes; in calm " + std::to_string(calmBegan)
                 + " of " + std::to_string(calm) + " sound requests began");
    if (calm < LeastSound || calmBegan == 0)
        return NotRun;
    if (crashes.empty())
        return RuleHeld;
    const Time fifth = crashes[std::min(CrashesBeforeBounds, crashes.size()) - 1];
    const int reached = requestsWithPart(deployment, fifth + StableWindow);
    const auto [sound, began] = callers.count(fifth + 2 * StableWindow, endAt);
    record.write(std::to_string(reached)
                 + " requests with the part reached engines later than stable_window_ms after the "
                   "fifth crash; from 2 x stable_window_ms after it, "
                 + std::to_string(began) + " of " + std::to_string(sound)
                 + " sound requests began");
    const bool isBudgetBroken = reached > MostRequests;
    const bool isLost = sound >= LeastSound && double(began) / sound < double(calmBegan) / calm / 2;
    record.write(std::string("BUDGET ") + (isBudgetBroken ? "broken" : "held") + ", LOST "
                 + (isLost ? "broken" : "held"));
    return isBudgetBroken || isLost ? RuleBroken : RuleHeld;
}

int run(Deployment &deployment, Record &record, const PartTrouble &trouble)
{
    if (!deployment.waitUntilReady())
        return NotRun;
    Callers callers(deployment, record);
    const Time startedAt = std::chrono::steady_clock::now();
    const Time troubleAt = startedAt + CalmTime;
    const Time endAt = troubleAt + TroubledTime;
    Time nextSound = startedAt;
    Time nextCrashing = troubleAt;
    int number = 0;
    int crashing = 0;
    while (nextSound < endAt) {
        if (nextCrashing <= nextSound) {
            std::this_thread::sleep_until(nextCrashing);
            callers.sendCrashing(++number);
            ++crashing;
            nextCrashing += crashing < trouble.burst ? trouble.burstInterval : trouble.interval;
            continue;
        }
        std::this_thread::sleep_until(nextSound);
        callers.sendSound(++number);
        nextSound += SoundInterval;
    }
    callers.join();
    return judge(deployment, record, callers, troubleAt, endAt);
}

} // namespace

void runPartTrouble(const PartTrouble &trouble, const std::string &recordFile)
{
    Record record(recordFile);
    DeploymentPlan plan;
    plan.routers = Routers;
    plan.engines = trouble.engines;
    plan.crashesEarly = trouble.crashesEarly;
    if (hasTrouble())
        plan.crashingPart = CrashingPart;
    Deployment deployment(record, plan);
    const int result = run(deployment, record, trouble);
    record.write("exit " + std::to_string(result));
    deployment.exit(result);
}

} // namespace review
