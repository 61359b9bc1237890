#include "almondmill/config/partition.h"

#include "almondmill/config/configurationcodec.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <iterator>

namespace almondmill {

namespace {

constexpr std::size_t MinMeanPartBytes = 4U << 10U;
constexpr std::size_t MaxMeanPartBytes = 32U << 10U;
constexpr std::size_t MaxParts = 4096;

/// Entries of one part.
struct PartEntries
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
void distribute(std::vector<Entry> entries, const char *kind, std::vector<PartEntries> &partEntries,
                std::vector<Entry> &(*listOf)(PartEntries &))
{
    sortByName(entries);
    const std::uint64_t seed = hash64(kind);
    for (Entry &entry : entries) {
        const std::size_t index = hash64(entry.name, seed) & (partEntries.size() - 1);
        listOf(partEntries[index]).push_back(std::move(entry));
    }
}

std::vector<std::string> encodeParts(const Inventory &inventory, const Rules &rules,
                                     std::size_t count)
{
    std::vector<PartEntries> partEntries(count);
    distribute<DataCentre>(
            inventory.dataCentres, "data_centre", partEntries,
            [](PartEntries & entries) -> auto & { return entries.inventory.dataCentres; });
    distribute<Model>(
            inventory.models, "model", partEntries,
            [](PartEntries & entries) -> auto & { return entries.inventory.models; });
    distribute<Service>(
            inventory.services, "service", partEntries,
            [](PartEntries & entries) -> auto & { return entries.inventory.services; });
    distribute<Endpoint>(
            inventory.endpoints, "endpoint", partEntries,
            [](PartEntries & entries) -> auto & { return entries.inventory.endpoints; });
    distribute<ClientAccount>(
            rules.clientAccounts, "client_account", partEntries,
            [](PartEntries & entries) -> auto & { return entries.rules.clientAccounts; });
    std::vector<std::string> parts;
    parts.reserve(count);
    for (const PartEntries &entries : partEntries)
        parts.push_back(encodeEntries(entries.inventory, entries.rules));
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
                       [](const std::string &part) { return part.size() <= MaxPartBytes; });
}

bool meanFits(const std::vector<std::string> &parts)
{
    const std::size_t mean = totalBytes(parts) / parts.size();
    return mean <= MaxMeanPartBytes && (parts.size() == 1 || mean >= MinMeanPartBytes);
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
    for (std::size_t count = 1; count <= MaxParts; count *= 2) {
        auto parts = encodeParts(inventory, rules, count);
        if (totalBytes(parts) / count <= MaxMeanPartBytes && allFit(parts))
            return parts;
    }
    throw Error("config.304", "the configuration does not fit into " + std::to_string(MaxParts)
                                      + " parts of at most " + std::to_string(MaxPartBytes)
                                      + " bytes");
}

void assemble(const std::vector<std::string> &parts, Inventory &inventory, Rules &rules)
{
    for (const std::string &part : parts) {
        PartEntries entries;
        decodeEntries(part, entries.inventory, entries.rules);
        moveAll(entries.inventory.dataCentres, inventory.dataCentres);
        moveAll(entries.inventory.models, inventory.models);
        moveAll(entries.inventory.services, inventory.services);
        moveAll(entries.inventory.endpoints, inventory.endpoints);
        moveAll(entries.rules.clientAccounts, rules.clientAccounts);
    }
    sortByName(inventory.dataCentres);
    sortByName(inventory.models);
    sortByName(inventory.services);
    sortByName(inventory.endpoints);
    sortByName(rules.clientAccounts);
}

} // namespace almondmill
