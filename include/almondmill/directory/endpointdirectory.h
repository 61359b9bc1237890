#pragma once

#include "almondmill/directory/registration.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// A change of the directory: an entry that is new or other than before, or one that is gone.
struct RegistrationChange
{
    std::string id;
    const Registration *entry = nullptr; ///< Null when the entry is gone.
};

/// The endpoints that are registered, as of one revision of the platform's store. Belongs to the
/// event loop; not safe for several threads.
class EndpointDirectory
{
public:
    using Observer = std::function<void(const RegistrationChange &)>;

    /// `observer` hears every change after it was made.
    explicit EndpointDirectory(Observer observer);

    std::uint64_t revision() const { return m_revision; }
    const absl::flat_hash_map<std::string, Registration> &entries() const { return m_entries; }

    /// Null when there is no such entry.
    const Registration *find(std::string_view id) const;

    /// What becomes of entries that a list doesn't name.
    enum class Missing { Gone, Kept };

    /// Replaces everything by a full list as of `revision`. An older list is ignored.
    void replaceAll(std::vector<Registration> entries, std::uint64_t revision,
                    Missing missing = Missing::Gone);

    void put(Registration entry);
    void remove(const std::string &id);

    /// Says up to which revision all changes were applied; never goes back.
    void advance(std::uint64_t revision);

private:
    Observer m_observer;
    absl::flat_hash_map<std::string, Registration> m_entries;
    std::uint64_t m_revision = 0;
};

} // namespace almondmill
