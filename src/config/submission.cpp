#include "almondmill/config/submission.h"

#include "almondmill/config/configurationstore.h"
#include "almondmill/config/partition.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/randomid.h"
#include "almondmill/store/objectstore.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::size_t HistoryLength = 16;
constexpr std::uint64_t PartRetentionVersions = 16; ///< Older roots whose parts stay readable.
constexpr std::size_t MaxRemovalsPerSubmission = 16;
constexpr int PartAttempts = 3;
constexpr int ReadBackAttempts = 3;

} // namespace

Submission::Submission(ObjectStore &store, std::chrono::milliseconds timeout,
                       const StoredRoot *base, const std::string &submitter)
    : m_store(store)
    , m_timeout(timeout)
    , m_base(base)
    , m_submitter(submitter)
    , m_id(randomId())
    , m_version(base ? base->root.version + 1 : 1)
{}

UpdateResult Submission::run(const Inventory &inventory, const Rules &rules)
{
    const std::size_t previousCount = m_base ? m_base->root.parts.size() : 0;
    const auto contents = partition(inventory, rules, previousCount);
    ConfigurationRoot root = nextRoot(rules, contents);
    for (std::size_t i = 0; i < contents.size(); ++i) {
        if (isReferencedByBase(root.parts[i]))
            continue;
        auto written = writePart(root.parts[i], contents[i]);
        if (!std::holds_alternative<Applied>(written))
            return written;
    }
    const auto unexpired = removeExpired();
    root.retired.insert(root.retired.end(), unexpired.begin(), unexpired.end());
    return writeRoot(root);
}

ConfigurationRoot Submission::nextRoot(const Rules &rules,
                                       const std::vector<std::string> &contents) const
{
    ConfigurationRoot root;
    root.version = m_version;
    root.placementPolicy = rules.placementPolicy;
    for (const std::string &content : contents)
        root.parts.push_back(partNameFor(content));
    root.history.push_back({m_version, m_id, m_submitter});
    if (!m_base)
        return root;
    for (const SubmissionRecord &record : m_base->root.history) {
        if (root.history.size() < HistoryLength)
            root.history.push_back(record);
    }
    const absl::flat_hash_set<std::string> referenced(root.parts.begin(), root.parts.end());
    RetiredParts dropped{m_version, {}};
    for (const std::string &name : m_base->root.parts) {
        if (!referenced.contains(name))
            dropped.parts.push_back(name);
    }
    if (!dropped.parts.empty())
        root.retired.push_back(std::move(dropped));
    return root;
}

/// Returns the name of the base's part with this content, so that the part is not written again, or
/// a new name if there is none.
std::string Submission::partNameFor(const std::string &content) const
{
    std::string name = partName(m_version, content);
    if (!m_base)
        return name;
    const std::string hash = partHash(name);
    for (const std::string &known : m_base->root.parts) {
        if (partHash(known) == hash)
            return known;
    }
    return name;
}

bool Submission::isReferencedByBase(const std::string &name) const
{
    if (!m_base)
        return false;
    const auto &parts = m_base->root.parts;
    return std::find(parts.begin(), parts.end(), name) != parts.end();
}

/// Creates a part. The call is idempotent because the name contains the hash of the content, so it
/// is retried if the answer is lost.
UpdateResult Submission::writePart(const std::string &name, const std::string &content)
{
    std::string reason;
    for (int attempt = 0; attempt < PartAttempts; ++attempt) {
        auto result = m_store.createIfAbsent(PartPrefix + name, content, m_timeout);
        if (std::holds_alternative<Applied>(result))
            return result;
        if (const auto *conflict = std::get_if<Conflict>(&result)) {
            if (conflict->current && conflict->current->value != content)
                return NotApplied{
                        "part " + name
                        + " is damaged: the stored content differs from the submitted one"};
            return Applied{};
        }
        if (const auto *refused = std::get_if<NotApplied>(&result))
            return *refused;
        reason = std::get<OutcomeUnknown>(result).reason;
        const auto stored = m_store.read(PartPrefix + name, m_timeout);
        const auto *object = std::get_if<StoredObject>(&stored);
        if (object && object->value == content)
            return Applied{object->version};
    }
    return NotApplied{"writing part " + name + " failed after " + std::to_string(PartAttempts)
                      + " attempts: " + reason};
}

/// Removes parts that none of the last `PartRetentionVersions` roots references. No later root can
/// reference them, because a root references only parts of its predecessor and parts whose names
/// contain its own version. Returns the parts that remain to be removed.
std::vector<RetiredParts> Submission::removeExpired()
{
    std::vector<RetiredParts> remaining;
    if (!m_base)
        return remaining;
    std::size_t removals = 0;
    for (const RetiredParts &retired : m_base->root.retired) {
        RetiredParts kept{retired.version, {}};
        for (const std::string &name : retired.parts) {
            const bool expired = retired.version + PartRetentionVersions <= m_version;
            const bool tried = expired && removals < MaxRemovalsPerSubmission;
            removals += tried ? 1 : 0;
            if (!tried || !removePart(name))
                kept.parts.push_back(name);
        }
        if (!kept.parts.empty())
            remaining.push_back(std::move(kept));
    }
    return remaining;
}

/// Removes a part. Returns true only if the part is known to be absent from the store.
bool Submission::removePart(const std::string &name)
{
    const auto current = m_store.read(PartPrefix + name, m_timeout);
    if (std::holds_alternative<Absent>(current))
        return true;
    const auto *object = std::get_if<StoredObject>(&current);
    if (!object)
        return false;
    const auto removed = m_store.remove(object->name, object->version, m_timeout);
    return std::holds_alternative<Applied>(removed);
}

UpdateResult Submission::writeRoot(const ConfigurationRoot &root)
{
    const std::string text = encodeRoot(root);
    const std::uint64_t storeVersion = m_base ? m_base->storeVersion : 0;
    auto result = storeVersion != 0 ? m_store.update(RootName, text, storeVersion, m_timeout)
                                    : m_store.createIfAbsent(RootName, text, m_timeout);
    if (std::holds_alternative<Applied>(result))
        return Applied{m_version};
    if (const auto *unknown = std::get_if<OutcomeUnknown>(&result))
        return readBack(unknown->reason);
    return result;
}

/// Finds out whether the update of the root took effect: it did if the root or the history of a
/// later root contains this submission. An unchanged root is inconclusive, because the update may
/// still be in transit.
UpdateResult Submission::readBack(const std::string &reason)
{
    ConfigurationStore store(m_store, m_timeout);
    for (int attempt = 0; attempt < ReadBackAttempts; ++attempt) {
        const RootResult current = store.readRoot();
        const auto *stored = std::get_if<StoredRoot>(&current);
        if (!stored || stored->root.version < m_version)
            continue;
        const SubmissionRecord *record = stored->root.recordOf(m_version);
        if (!record)
            break;
        if (record->submission == m_id)
            return Applied{m_version};
        return Conflict{StoredObject{RootName, stored->text, stored->storeVersion}};
    }
    return OutcomeUnknown{reason + "; submission " + m_id};
}

} // namespace almondmill
