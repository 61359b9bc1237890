#include "recovery.h"

#include "booking.h"
#include "casesetup.h"

#include <list>

namespace review {

namespace {

using std::chrono::milliseconds;

constexpr int StorePort = 8200;
constexpr int RouterCount = 3;
constexpr int ServerCount = 4;

/// `recovery_s` of the site's sheet.
constexpr double RecoveryBound = 12;

/// How much longer than the drain bound the server that leaves goes on.
constexpr milliseconds ServesOn{1000};
constexpr milliseconds DownTime{1500};
constexpr milliseconds PhaseBefore{5000};
constexpr milliseconds PhaseAfter{8000};

void startRouters(Routers &routers, const std::string &network, const std::string &store,
                  const std::string &folder)
{
    for (int number = 0; number < RouterCount; ++number)
        routers.emplace_back(bookingPlace(number, network, store), folder,
                             "router-" + std::to_string(number));
}

} // namespace

int playRecovery(Record &record, const OddEntry &entry)
{
    const std::string network = loopbackNetwork();
    const TemporaryFolder folder;
    // Never destroyed, as threads of connections use them until the end of the process.
    PlatformStore &store = *new PlatformStore(network + ".1", StorePort);
    store.put("config", "\"main\"", bookingConfiguration(1));
    auto &servers = *new std::list<BookingServer>;
    for (int number = 0; number < ServerCount; ++number)
        servers.emplace_back(store, record, number, network + "." + std::to_string(11 + number));
    Routers routers;
    startRouters(routers, network, store.address(), folder.path());
    if (!waitUntil([&] { return areReady(routers); }, milliseconds(15000)))
        return CouldNotRun;
    std::this_thread::sleep_for(milliseconds(4000)); // Until the servers' entries are read.
    Clients clients(record, network, RouterCount);
    const double before = clients.run("before-", PhaseBefore);
    if (before < 0.9)
        return CouldNotRun;

    if (hasTrouble()) {
        store.put("servers", entry.name, entry.spec);
        record.write("another writer creates an entry in kind servers");
    }
    std::this_thread::sleep_for(milliseconds(2000));
    BookingServer &leaving = servers.front();
    leaving.drain();
    clients.run("drain-",
                milliseconds(static_cast<int>(BookingServer::DrainBound * 1000)) + ServesOn);
    leaving.leave();

    store.put("config", "\"main\"", bookingConfiguration(2));
    record.write("a desired state is acknowledged; all routers are killed");
    routers.clear();
    std::this_thread::sleep_for(DownTime);
    startRouters(routers, network, store.address(), folder.path());
    record.write("all routers are started again");
    const bool isBack = waitUntil([&] { return areReady(routers); }, milliseconds(15000));
    record.write(isBack ? "all routers say that they are ready" : "a router isn't ready");
    std::this_thread::sleep_for(milliseconds(static_cast<int>(RecoveryBound * 1000)));
    const double after = clients.run("after-", PhaseAfter);

    const bool isBroken = after < 0.25 && before >= 0.25;
    const std::string verdict = isBroken ? "broken" : "held";
    record.write("DRAIN: " + std::to_string(leaving.lateArrivals())
                 + " requests reached the server that leaves later than 2 s after the ack");
    record.write("RECOVER " + verdict + ": share served before the final fault "
                 + std::to_string(before) + ", later than 12 s after it " + std::to_string(after));
    return isBroken ? RuleBroken : RuleHeld;
}

} // namespace review
