#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <string>

namespace almondmill {

class Findings;

/// Name and content of a file.
struct SourceText
{
    std::string file;
    std::string text;
};

/// Inventory and rules as parsed from an operator's files.
struct ParsedConfiguration
{
    Inventory inventory;
    Rules rules;
};

/// Parses both files and validates them together. All errors are added to `findings`; validation
/// errors are left out for a key that already has a parse error. The result is meaningful only if
/// `findings` is empty.
ParsedConfiguration parseConfiguration(const SourceText &inventory, const SourceText &rules,
                                       Findings &findings);

/// Reads, parses and validates both files. Throws Error "config.206" if a file cannot be opened,
/// and InputError "config.200" with all findings if the content is invalid.
ParsedConfiguration loadConfigurationFiles(const std::string &inventoryFile,
                                           const std::string &rulesFile);

} // namespace almondmill
