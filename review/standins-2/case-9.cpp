// Case 9: callers that aren't controlled send large bodies of legal size and stop just short of
// their end. Plays the platform's limit of memory, which counts bytes that were received and not
// yet read, and checks that no process ends by it.

#include "booking.h"
#include "casesetup.h"
#include "crowd.h"
#include "machine.h"

#include <list>
#include <thread>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr int StorePort = 8200;
constexpr int RouterCount = 2;
constexpr int ServerCount = 4;

/// Callers of the crowd at each router.
constexpr int Callers = 600;
constexpr milliseconds Visit{3000};
constexpr milliseconds Pause{2000};
constexpr milliseconds PhaseBefore{4000};
constexpr milliseconds PhaseDuring{25000};

/// Ends by itself that count as a fault, on two machines or more.
constexpr int EndsOfAMachine = 3;
constexpr int MachinesWithEnds = 2;

/// The place of a router on a machine of that sheet.
RouterPlace placeOf(int number, const std::string &network, const std::string &store)
{
    RouterPlace place = bookingPlace(number, network, store);
    place.memoryMb = Machine::MemoryMb;
    return place;
}

int play(Record &record)
{
    const std::string network = loopbackNetwork();
    const TemporaryFolder folder;
    // Never destroyed, as threads of connections use them until the end of the process.
    PlatformStore &store = *new PlatformStore(network + ".1", StorePort);
    store.put("config", "\"main\"", bookingConfiguration(1));
    auto &servers = *new std::list<BookingServer>;
    for (int number = 0; number < ServerCount; ++number)
        servers.emplace_back(store, record, number, network + "." + std::to_string(11 + number));
    std::list<Machine> machines;
    for (int number = 0; number < RouterCount; ++number)
        machines.emplace_back(placeOf(number, network, store.address()), folder.path(),
                              Machine::Counts::OwnAndUnread, record);
    for (Machine &machine : machines) {
        if (!waitUntil([&] { return machine.isReady(); }, milliseconds(15000)))
            return CouldNotRun;
    }
    std::this_thread::sleep_for(milliseconds(4000)); // Until the servers' entries are read.
    Clients clients(record, network, RouterCount);
    if (clients.run("before-", PhaseBefore) < 0.9)
        return CouldNotRun;
    std::list<std::thread> crowds;
    const auto end = Clock::now() + PhaseDuring;
    for (const Machine &machine : machines) {
        if (!hasTrouble())
            break;
        crowds.emplace_back([&record, &machine, end] {
            const Crowd crowd(machine.place().ip, Router::CallerPort, Callers);
            for (int visit = 0; Clock::now() + Visit < end; ++visit) {
                record.write(std::to_string(Callers) + " callers come to " + machine.place().name);
                crowd.visit(visit, Visit);
                std::this_thread::sleep_for(Pause);
            }
        });
    }
    clients.run("during-", PhaseDuring);
    for (std::thread &crowd : crowds)
        crowd.join();
    int machinesWithEnds = 0;
    for (const Machine &machine : machines) {
        machinesWithEnds += machine.ends() >= EndsOfAMachine ? 1 : 0;
        record.write(machine.place().name + ": " + std::to_string(machine.ends())
                     + " ends by memory over the limit, at most "
                     + std::to_string(machine.mostKilobytes()) + " kB seen");
    }
    const bool isBroken = machinesWithEnds >= MachinesWithEnds;
    record.write(isBroken ? "Fault: broken" : "Fault: held");
    return isBroken ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return CouldNotRun;
    Record &record = *new Record(argv[1]);
    int result = CouldNotRun;
    try {
        result = play(record);
    } catch (const std::exception &error) {
        record.write(std::string("could not run: ") + error.what());
    }
    std::_Exit(result);
}
