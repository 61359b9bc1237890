#pragma once

#include "almondmill/config/configurationfiles.h"

#include <string>
#include <vector>

namespace almondmill {

/// A key whose value differs between two versions of an entry. An absent key has an empty value.
struct KeyChange
{
    std::string key;
    std::string before;
    std::string after;
};

/// An entry that was added, removed or changed between two configurations.
struct EntryChange
{
    enum class Kind { Added, Removed, Changed };

    Kind kind = Kind::Changed;
    std::string list; ///< Name of the list in the files, such as "endpoint".
    std::string name; ///< Empty for a table that occurs once, such as "placement".
    std::vector<KeyChange> keys;

    /// Formats the change as one line, such as "~ endpoint reed-1: leaving (none) -> true".
    std::string text() const;
};

/// Returns the changes that turn `before` into `after`: removed and changed entries first, then
/// added ones, each group sorted by list and name.
std::vector<EntryChange> diffConfigurations(const ParsedConfiguration &before,
                                            const ParsedConfiguration &after);

} // namespace almondmill
