#pragma once

#include "almondmill/config/configurationfiles.h"

#include <string>
#include <vector>

namespace almondmill {

/// One key of an entry that differs; a key that is not there has an empty value.
struct KeyChange
{
    std::string key;
    std::string before;
    std::string after;
};

/// One entry that differs between two configurations.
struct EntryChange
{
    enum class Kind { Added, Removed, Changed };

    Kind kind = Kind::Changed;
    std::string list; ///< Such as "endpoint", as in the files.
    std::string name; ///< Empty for a table that is there once, such as "placement".
    std::vector<KeyChange> keys;

    /// One line, such as "~ endpoint reed-1: leaving (none) -> true".
    std::string text() const;
};

/// What turns `before` into `after`, entry by entry, in the order of lists and names.
std::vector<EntryChange> diffConfigurations(const ParsedConfiguration &before,
                                            const ParsedConfiguration &after);

} // namespace almondmill
