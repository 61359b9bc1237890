#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <string>

namespace almondmill {

class Findings;

/// A file's name and content.
struct SourceText
{
    std::string file;
    std::string text;
};

/// Inventory and rules as an operator wrote them.
struct ParsedConfiguration
{
    Inventory inventory;
    Rules rules;
};

/// Parses both files and checks what they say together. Everything that is wrong goes to
/// `findings`, at most one finding of the checks for each key that could not be read; the result is
/// only of use when nothing was found.
ParsedConfiguration parseConfiguration(const SourceText &inventory, const SourceText &rules,
                                       Findings &findings);

/// Reads both files. Throws Error "config.206" when one can't be read, and InputError "config.200"
/// with every finding.
ParsedConfiguration loadConfigurationFiles(const std::string &inventoryFile,
                                           const std::string &rulesFile);

} // namespace almondmill
