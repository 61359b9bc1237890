// Measures the cost of a configuration to a router: the bytes of a change, the processor time to
// apply it, and the memory.

#include "memorystore.h"
#include "support/configurations.h"

#include "almondmill/config/configurationinforce.h"
#include "almondmill/config/configurationstore.h"
#include "almondmill/kernel/node.h"
#include "almondmill/placement/placer.h"

#include <ctime>
#include <fstream>
#include <iostream>

namespace {

using namespace almondmill;
using namespace almondmill::test;

constexpr std::chrono::milliseconds Timeout{1000};
constexpr std::size_t TargetAccounts = 14000;
constexpr std::size_t TargetEndpoints = 660;
constexpr std::size_t Changes = 20;
constexpr double ChangesPerDay = 720;
constexpr double SecondsPerDay = 86400;

/// Processor time of this thread in milliseconds.
double threadProcessorMs()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

double residentMb()
{
    constexpr double PageMb = 4096.0 / 1e6;
    std::ifstream in("/proc/self/statm");
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * PageMb;
}

std::size_t bytesOf(const ConfigurationOffer &offer)
{
    std::size_t bytes = offer.root.size();
    for (const ConfigurationPart &part : offer.parts)
        bytes += part.hash.size() + part.content.size();
    return bytes;
}

/// Measures a router that applies the configurations that another one pushes.
void measure(std::size_t accounts)
{
    standin::MemoryStore objects;
    ConfigurationStore store(objects, Timeout);
    const Inventory inventory = makeInventory(TargetEndpoints);
    Rules rules = makeRules(accounts);
    Node sender{Settings()};
    Node receiver{Settings()};
    ConfigurationInForce from(sender);
    ConfigurationInForce to(receiver);
    const double before = residentMb();
    double memoryMb = 0;
    double applyMs = 0;
    std::size_t bytes = 0;
    std::size_t parts = 0;
    for (std::size_t change = 0; change <= Changes; ++change) {
        rules.clientAccounts[change * 7].maxConcurrent += 1;
        store.submit(inventory, rules, change);
        const auto read = store.readRoot();
        const auto &root = std::get<StoredRoot>(read);
        store.fetchParts(root.root, from.cache());
        from.accept({root.root.version, root.storeVersion, root.text, {}}, "store", {});
        parts = root.root.parts.size();
        const auto offer = from.offer(change);
        const double start = threadProcessorMs();
        Acceptance acceptance = to.accept(offer, "bench", {});
        if (change == 0) {
            store.fetchParts(root.root, to.cache());
            acceptance = to.accept(offer, "bench", {});
            memoryMb = (residentMb() - before) / 2;
            continue;
        }
        if (acceptance != Acceptance::Applied)
            throw std::runtime_error("the pushed configuration change was not applied");
        applyMs += threadProcessorMs() - start;
        bytes += bytesOf(offer);
    }
    constexpr double MsPerPercent = 10; ///< Processor time per second that equals 1% of a core.
    const double perSecond = ChangesPerDay / SecondsPerDay;
    const double each = static_cast<double>(bytes) / Changes;
    std::cout << "configuration accounts=" << accounts << " parts=" << parts
              << " bytes_per_change=" << each << " bytes_per_s_at_720_a_day=" << each * perSecond
              << " apply_ms=" << applyMs / Changes
              << " core_pct_at_720_a_day=" << applyMs / Changes * perSecond / MsPerPercent
              << " memory_mb_at_most=" << memoryMb << std::endl;
}

} // namespace

int main()
{
    for (const std::size_t accounts : {std::size_t{200}, std::size_t{3500}, TargetAccounts})
        measure(accounts);
    return 0;
}
