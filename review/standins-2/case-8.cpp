// Case 8: entries of other writers, as large as the store takes them, among those of the servers.
// Plays the platform's limit of memory and checks that no process ends by it.

#include "booking.h"
#include "casesetup.h"

#include <atomic>
#include <fstream>
#include <list>
#include <memory>
#include <mutex>
#include <sstream>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr int StorePort = 8200;
constexpr int RouterCount = 3;
constexpr int ServerCount = 4;

// Limits of the sheet: of a machine's memory and of a stored object.
constexpr long MemoryMb = 96;
constexpr std::size_t ValueBytes = 1048576;

constexpr int OddEntries = 4;
constexpr milliseconds Heartbeat{1200};
constexpr milliseconds RestartDelay{1000};
constexpr milliseconds PhaseBefore{4000};
constexpr milliseconds PhaseDuring{25000};

/// Ends by itself that count as a fault, on two machines or more.
constexpr int EndsOfAMachine = 3;
constexpr int MachinesWithEnds = 2;

/// Anonymous memory of a process, in kB; 0 if it doesn't run.
long anonymousMemory(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("RssAnon:", 0) != 0)
            continue;
        std::istringstream fields(line.substr(line.find(':') + 1));
        long kilobytes = 0;
        fields >> kilobytes;
        return kilobytes;
    }
    return 0;
}

/// A machine of the platform: runs one router, kills it when it takes more memory than the machine
/// has, and starts it again after a short delay.
class Machine
{
public:
    Machine(RouterPlace place, std::string folder, Record &record)
        : m_place(std::move(place))
        , m_folder(std::move(folder))
        , m_record(record)
        , m_router(std::make_unique<Router>(m_place, m_folder, m_place.name))
        , m_watch([this] { watch(); })
    {}

    ~Machine()
    {
        m_stopped = true;
        m_watch.join();
    }

    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;

    bool isReady()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_router && m_router->isReady();
    }

    int ends() const { return m_ends; }
    long mostKilobytes() const { return m_most; }
    const std::string &name() const { return m_place.name; }

private:
    void watch()
    {
        while (!m_stopped) {
            std::this_thread::sleep_for(milliseconds(1));
            const long kilobytes = anonymousMemory(m_router->process());
            m_most = std::max(m_most.load(), kilobytes);
            if (kilobytes <= MemoryMb * 1024)
                continue;
            ++m_ends;
            m_record.write(m_place.name + " takes " + std::to_string(kilobytes)
                           + " kB of its own; the platform kills it");
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_router.reset();
            std::this_thread::sleep_for(RestartDelay);
            m_router = std::make_unique<Router>(m_place, m_folder, m_place.name);
        }
    }

    RouterPlace m_place;
    std::string m_folder;
    Record &m_record;
    std::mutex m_mutex;
    std::unique_ptr<Router> m_router;
    std::atomic<int> m_ends{0};
    std::atomic<long> m_most{0};
    std::atomic<bool> m_stopped{false};
    std::thread m_watch;
};

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
        machines.emplace_back(bookingPlace(number, network, store.address()), folder.path(),
                              record);
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
        record.write(machine.name() + ": " + std::to_string(machine.ends())
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
