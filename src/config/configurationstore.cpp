#include "almondmill/config/configurationstore.h"

#include "almondmill/config/configurationbuilder.h"
#include "almondmill/config/parallel.h"
#include "almondmill/config/submission.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/findings.h"
#include "almondmill/store/objectstore.h"

#include <mutex>

namespace almondmill {

namespace {

constexpr std::size_t MaxParallelReads = 8;

/// Reads one part into `cache`. Returns the reason on failure.
std::optional<LoadFailure> readPart(ObjectStore &store, std::chrono::milliseconds timeout,
                                    const std::string &name, PartCache &cache)
{
    const auto result = store.read(PartPrefix + name, timeout);
    if (const auto *unavailable = std::get_if<Unavailable>(&result))
        return LoadFailure{"reading part " + name + " failed: " + unavailable->reason};
    const auto *object = std::get_if<StoredObject>(&result);
    if (!object)
        return LoadFailure{"part " + name + " does not exist in the store"};
    if (!cache.insert(name, object->value))
        return LoadFailure{"part " + name
                           + " is damaged: its content does not match the hash in its name"};
    return std::nullopt;
}

} // namespace

ConfigurationStore::ConfigurationStore(ObjectStore &store, std::chrono::milliseconds timeout)
    : m_store(store)
    , m_timeout(timeout)
{}

RootResult ConfigurationStore::readRoot()
{
    auto result = m_store.read(RootName, m_timeout);
    if (std::holds_alternative<Absent>(result))
        return NoConfiguration{};
    if (const auto *unavailable = std::get_if<Unavailable>(&result))
        return LoadFailure{unavailable->reason};
    auto &object = std::get<StoredObject>(result);
    try {
        ConfigurationRoot root = decodeRoot(object.value);
        return StoredRoot{std::move(root), std::move(object.value), object.version};
    } catch (const Error &error) {
        return DamagedRoot{error.what(), object.version};
    }
}

std::optional<LoadFailure> ConfigurationStore::fetchParts(const ConfigurationRoot &root,
                                                          PartCache &cache)
{
    std::mutex mutex;
    std::optional<LoadFailure> failure;
    forEachInParallel(cache.missing(root.parts), MaxParallelReads, [&](const std::string &name) {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            if (failure)
                return;
        }
        auto result = readPart(m_store, m_timeout, name, cache);
        const std::lock_guard<std::mutex> lock(mutex);
        if (result)
            failure = std::move(result);
    });
    return failure;
}

LoadResult ConfigurationStore::load()
{
    const RootResult result = readRoot();
    if (const auto *failure = std::get_if<LoadFailure>(&result))
        return *failure;
    if (const auto *damaged = std::get_if<DamagedRoot>(&result))
        return LoadFailure{damaged->reason};
    const auto *stored = std::get_if<StoredRoot>(&result);
    if (!stored)
        return NoConfiguration{};
    if (const auto failure = fetchParts(stored->root, m_cache))
        return *failure;
    m_cache.retain(stored->root.parts);
    Findings findings;
    auto configuration = buildConfiguration(stored->root, m_cache, findings);
    if (!configuration)
        return LoadFailure{findings.text()};
    const SubmissionRecord *record = stored->root.recordOf(stored->root.version);
    return LoadedConfiguration{std::move(configuration), record ? record->submitter : "unknown"};
}

UpdateResult ConfigurationStore::submit(const Inventory &inventory, const Rules &rules,
                                        std::uint64_t baseVersion, const std::string &submitter)
{
    const RootResult current = readRoot();
    if (const auto *failure = std::get_if<LoadFailure>(&current))
        return NotApplied{"cannot read the root object: " + failure->reason};
    if (const auto *damaged = std::get_if<DamagedRoot>(&current))
        return NotApplied{damaged->reason};
    const auto *stored = std::get_if<StoredRoot>(&current);
    const std::uint64_t version = stored ? stored->root.version : 0;
    if (version != baseVersion)
        return stored ? Conflict{StoredObject{RootName, stored->text, stored->storeVersion}}
                      : Conflict{};
    Submission submission(m_store, m_timeout, stored, submitter);
    return submission.run(inventory, rules);
}

UpdateResult ConfigurationStore::repair(const Inventory &inventory, const Rules &rules,
                                        std::uint64_t inForceVersion, const std::string &submitter)
{
    const RootResult current = readRoot();
    if (const auto *failure = std::get_if<LoadFailure>(&current))
        return NotApplied{"cannot read the root object: " + failure->reason};
    StoredRoot base;
    base.root.version = inForceVersion;
    if (const auto *damaged = std::get_if<DamagedRoot>(&current))
        base.storeVersion = damaged->storeVersion;
    if (const auto *stored = std::get_if<StoredRoot>(&current)) {
        if (stored->root.version >= inForceVersion)
            return Conflict{StoredObject{RootName, stored->text, stored->storeVersion}};
        base.storeVersion = stored->storeVersion;
    }
    Submission submission(m_store, m_timeout, &base, submitter);
    return submission.run(inventory, rules);
}

} // namespace almondmill
