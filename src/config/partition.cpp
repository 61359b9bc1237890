#include "almondmill/config/partition.h"

#include "almondmill/config/configurationcodec.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <iterator>

namespace almondmill {

namespace {

constexpr std::size_t LeastMeanBytes = 4U << 10U;
constexpr std::size_t MostMeanBytes = 32U << 10U;
constexpr std::size_t MostParts = 4096;

/// The entries of one part.
struct Slice
{
    Inventory inventory;
    Rules rules;
};

template<typename Entry>
void sortByName(std::vector<Entry> &entries)
{
    std::sort(entries.begin(), entries.end(),
              [](const Entry &a, const Entry &b) { return a.name < b.name; });
}

template<typename Entry>
void spread(std::vector<Entry> entries, const char *kind, std::vector<Slice> &slices,
            std::vector<Entry> &(*listOf)(Slice &))
{
    sortByName(entries);
    const std::uint64_t seed = hash64(kind);
    for (Entry &entry : entries) {
        const std::size_t index = hash64(entry.name, seed) & (slices.size() - 1);
        listOf(slices[index]).push_back(std::move(entry));
    }
}

std::vector<std::string> encodeParts(const Inventory &inventory, const Rules &rules,
                                     std::size_t count)
{
    std::vector<Slice> slices(count);
    spread<DataCentre>(
            inventory.dataCentres, "data_centre", slices,
            [](Slice & slice) -> auto & { return slice.inventory.dataCentres; });
    spread<Model>(
            inventory.models, "model", slices,
            [](Slice & slice) -> auto & { return slice.inventory.models; });
    spread<Service>(
            inventory.services, "service", slices,
            [](Slice & slice) -> auto & { return slice.inventory.services; });
    spread<Endpoint>(
            inventory.endpoints, "endpoint", slices,
            [](Slice & slice) -> auto & { return slice.inventory.endpoints; });
    spread<ClientAccount>(
            rules.clientAccounts, "client_account", slices,
            [](Slice & slice) -> auto & { return slice.rules.clientAccounts; });
    std::vector<std::string> parts;
    parts.reserve(count);
    for (const Slice &slice : slices)
        parts.push_back(encodeEntries(slice.inventory, slice.rules));
    return parts;
}

std::size_t totalBytes(const std::vector<std::string> &parts)
{
    std::size_t total = 0;
    for (const std::string &part : parts)
        total += part.size();
    return total;
}

bool allFit(const std::vector<std::string> &parts)
{
    return std::all_of(parts.begin(), parts.end(),
                       [](const std::string &part) { return part.size() <= MostPartBytes; });
}

bool meanFits(const std::vector<std::string> &parts)
{
    const std::size_t mean = totalBytes(parts) / parts.size();
    return mean <= MostMeanBytes && (parts.size() == 1 || mean >= LeastMeanBytes);
}

template<typename Entry>
void moveAll(std::vector<Entry> &from, std::vector<Entry> &to)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

} // namespace

std::vector<std::string> partition(const Inventory &inventory, const Rules &rules,
                                   std::size_t previousCount)
{
    if (previousCount != 0) {
        auto parts = encodeParts(inventory, rules, previousCount);
        if (meanFits(parts) && allFit(parts))
            return parts;
    }
    for (std::size_t count = 1; count <= MostParts; count *= 2) {
        auto parts = encodeParts(inventory, rules, count);
        if (totalBytes(parts) / count <= MostMeanBytes && allFit(parts))
            return parts;
    }
    throw Error("config.304", "the configuration does not fit its parts");
}

void assemble(const std::vector<std::string> &parts, Inventory &inventory, Rules &rules)
{
    for (const std::string &part : parts) {
        Slice slice;
        decodeEntries(part, slice.inventory, slice.rules);
        moveAll(slice.inventory.dataCentres, inventory.dataCentres);
        moveAll(slice.inventory.models, inventory.models);
        moveAll(slice.inventory.services, inventory.services);
        moveAll(slice.inventory.endpoints, inventory.endpoints);
        moveAll(slice.rules.clientAccounts, rules.clientAccounts);
    }
    sortByName(inventory.dataCentres);
    sortByName(inventory.models);
    sortByName(inventory.services);
    sortByName(inventory.endpoints);
    sortByName(rules.clientAccounts);
}

} // namespace almondmill
