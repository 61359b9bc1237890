#pragma once

#include "almondmill/directory/registration.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// A change of the directory: an entry that was added, replaced or removed.
struct RegistrationChange
{
    std::string id;
    const Registration *entry = nullptr; ///< Null when the entry was removed.
};

/// The registered endpoints as of one revision of the platform's store. What is known of an entry
/// comes from lists, events and other routers, in any order, so each entry has the revision at
/// which it was written or removed, and older news of it are ignored. Must be used on the event
/// loop only; not thread-safe.
class EndpointDirectory
{
public:
    using Observer = std::function<void(const RegistrationChange &)>;

    /// `observer` is called after each change.
    explicit EndpointDirectory(Observer observer);

    std::uint64_t revision() const { return m_revision; }
    const absl::flat_hash_map<std::string, Registration> &entries() const { return m_entries; }

    /// Null when there is no such entry.
    const Registration *find(std::string_view id) const;

    /// Removals that are remembered, so that older news of these entries are recognized.
    static constexpr std::size_t MaxRemovals = 1024;

    /// Whether an entry that is not in a list is kept.
    using Keeps = std::function<bool(const Registration &)>;

    /// Replaces the entries by a full list as of `revision`; an empty `keeps` keeps no others. A
    /// list older than the current revision is ignored. Returns the ids of the removed entries.
    std::vector<std::string> replaceAll(std::vector<Registration> entries, std::uint64_t revision,
                                        const Keeps &keeps = nullptr);

    /// Adds or replaces an entry, unless it was written or removed at a later revision.
    void put(Registration entry);

    /// Removes an entry that was absent at `revision`, unless it was written at a later one.
    void remove(const std::string &id, std::uint64_t revision);

    /// Records that all changes up to `revision` were applied. A lower revision has no effect.
    void advance(std::uint64_t revision);

private:
    void recordRemoval(const std::string &id, std::uint64_t revision);

    Observer m_observer;
    absl::flat_hash_map<std::string, Registration> m_entries;
    absl::flat_hash_map<std::string, std::uint64_t> m_removals; ///< Revisions by id.
    std::uint64_t m_revision = 0;
};

} // namespace almondmill
