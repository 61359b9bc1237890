// Case 8: entries of other writers, as large as the store takes them, among those of the servers.
// Plays the platform's limit of memory and checks that no process ends by it.

#include "booking.h"
#include "casesetup.h"
#include "machine.h"

#include <atomic>
#include <list>
#include <memory>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr int StorePort = 8200;
constexpr int RouterCount = 3;
constexpr int ServerCount = 4;

/// Limit of a stored object.
constexpr std::size_t ValueBytes = 1048576;

constexpr int OddEntries = 4;
constexpr milliseconds Heartbeat{1200};
constexpr milliseconds PhaseBefore{4000};
constexpr milliseconds PhaseDuring{25000};

/// Ends by itself that count as a fault, on two machines or more.
constexpr int EndsOfAMachine = 3;
constexpr int MachinesWithEnds = 2;

/// An entry of that size with a field of another type: it names no server to use.
std::string oddEntry(int sequence)
{
    const std::string head =
            R"({"service":"herd-book","sequence":)" + std::to_string(sequence) + R"(,"slots":[{})";
    const std::string tail = "]}";
    std::string text = head;
    text.reserve(ValueBytes);
    while (text.size() + tail.size() + 3 <= ValueBytes)
        text += ",{}";
    return text + tail;
}

/// Other writers that renew their entries as servers do.
class OddWriters
{
public:
    OddWriters(PlatformStore &store, Record &record)
        : m_beats([this, &store, &record] {
            for (int sequence = 1; !m_stopped; ++sequence) {
                const std::string entry = oddEntry(sequence);
                for (int number = 0; number < OddEntries; ++number)
                    store.put("servers", "\"old-" + std::to_string(number) + "\"", entry);
                record.write("other writers renew " + std::to_string(OddEntries) + " entries of "
                             + std::to_string(entry.size()) + " bytes");
                std::this_thread::sleep_for(Heartbeat);
            }
        })
    {}

    ~OddWriters()
    {
        m_stopped = true;
        m_beats.join();
    }

    OddWriters(const OddWriters &) = delete;
    OddWriters &operator=(const OddWriters &) = delete;

private:
    std::atomic<bool> m_stopped{false};
    std::thread m_beats;
};

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
                              Machine::Counts::Own, record);
    for (Machine &machine : machines) {
        if (!waitUntil([&] { return machine.isReady(); }, milliseconds(15000)))
            return CouldNotRun;
    }
    std::this_thread::sleep_for(milliseconds(4000)); // Until the servers' entries are read.
    Clients clients(record, network, RouterCount);
    if (clients.run("before-", PhaseBefore) < 0.9)
        return CouldNotRun;
    {
        std::unique_ptr<OddWriters> writers;
        if (hasTrouble())
            writers = std::make_unique<OddWriters>(store, record);
        clients.run("during-", PhaseDuring);
    }
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
