#pragma once

#include <string>

namespace almondmill {

/// One thing that is wrong with an operator's input, and where.
struct Finding
{
    std::string id;      ///< Stable identifier, such as "config.204".
    std::string file;    ///< File or object name.
    unsigned line = 0;   ///< Line, counted from one; zero where there is none.
    std::string key;     ///< Key path, such as "endpoint[3].address".
    std::string message; ///< One sentence.

    /// "[config.204] inventory.toml:12: endpoint[3].address: message".
    std::string text() const;
};

} // namespace almondmill
