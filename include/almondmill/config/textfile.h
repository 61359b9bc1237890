#pragma once

#include <string>

namespace almondmill {

/// Returns the content of a file. Throws Error "config.206" if it cannot be opened.
std::string readTextFile(const std::string &file);

} // namespace almondmill
