// Most machines lose power and don't come back for a while: do the streams of their clients go on
// at the machines that are left, which have served all the time?

#include "casesetup.h"
#include "deployment.h"
#include "record.h"
#include "takeups.h"

#include <csignal>
#include <thread>
#include <vector>

namespace {

using namespace review;

constexpr int Routers = 14;

/// Three of the four zones, of 4, 4 and 4 machines. The last two machines stay.
constexpr int Lost = 12;

constexpr int Streams = 48;

/// Time in which the machines have served one software version of the service before the loss.
constexpr std::chrono::seconds CalmTime{65};

int run(Deployment &deployment, Record &record)
{
    if (!deployment.waitUntilReady())
        return NotRun;
    record.write("all routers are ready");
    std::this_thread::sleep_for(CalmTime);
    TakeUps streams(record);
    for (int stream = 0; stream < Streams; ++stream)
        streams.begin(deployment.router(stream % Lost));
    if (streams.readFirstEvents() < Streams / 2)
        return NotRun;
    if (hasTrouble()) {
        for (int index = 0; index < Lost; ++index)
            deployment.router(index).end(SIGKILL);
        record.write(std::to_string(Lost) + " of " + std::to_string(Routers)
                     + " machines have lost power");
    }
    std::vector<RouterProcess *> left;
    for (int index = Lost; index < Routers; ++index)
        left.push_back(&deployment.router(index));
    streams.takeUp(left);
    for (RouterProcess *router : left) {
        if (!router->isRunning())
            return NotRun;
    }
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
