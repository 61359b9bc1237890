// The machines are stopped and started in turn, and the last one is killed before its turn: do the
// streams of its clients go on at the others?

#include "casesetup.h"
#include "deployment.h"
#include "record.h"
#include "takeups.h"

#include <csignal>
#include <thread>
#include <vector>

namespace {

using namespace review;

constexpr int Routers = 6;
constexpr int Streams = 24;

/// Time in which the machines have served one software version of the service before the restarts.
constexpr std::chrono::seconds CalmTime{62};

/// Pause between two restarts.
constexpr std::chrono::milliseconds RestartGap{1300};

/// The bound `stable_window_ms`, from which on the machines that were started are in touch, and a
/// second.
constexpr std::chrono::milliseconds StableWindow{4000};

int run(Deployment &deployment, Record &record)
{
    if (!deployment.waitUntilReady())
        return NotRun;
    record.write("all routers are ready");
    std::this_thread::sleep_for(CalmTime);
    const bool trouble = hasTrouble();
    std::vector<RouterProcess *> others;
    for (int index = 1; index < Routers; ++index) {
        RouterProcess &router = deployment.router(index);
        others.push_back(&router);
        if (!trouble)
            continue;
        router.end(SIGTERM);
        router.start();
        record.write(router.name() + " was stopped with SIGTERM and started again");
        std::this_thread::sleep_for(RestartGap);
    }
    for (RouterProcess *router : others) {
        if (!Deployment::isReady(*router, std::chrono::milliseconds(1000)))
            return NotRun;
    }
    std::this_thread::sleep_for(StableWindow);
    TakeUps streams(record);
    for (int stream = 0; stream < Streams; ++stream)
        streams.begin(deployment.router(0));
    if (streams.readFirstEvents() < Streams / 2)
        return NotRun;
    if (trouble) {
        deployment.router(0).end(SIGKILL);
        record.write(deployment.router(0).name() + " was killed");
    }
    streams.takeUp(others);
    return streams.isRuleBroken() ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return NotRun;
    Record record(argv[1]);
    Deployment deployment(record, {.routers = Routers});
    const int result = run(deployment, record);
    record.write("exit " + std::to_string(result));
    deployment.exit(result);
}
