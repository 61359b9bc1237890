#pragma once

#include <string>

namespace almondmill {

/// One error in an operator's input and its location.
struct Finding
{
    std::string id;      ///< Stable identifier, such as "config.204".
    std::string file;    ///< File or object name.
    unsigned line = 0;   ///< One-based line number; zero if there is none.
    std::string key;     ///< Key path, such as "endpoint[3].address".
    std::string message; ///< One sentence.

    /// Formats the finding as "[config.204] inventory.toml:12: endpoint[3].address: message".
    std::string text() const;
};

} // namespace almondmill
