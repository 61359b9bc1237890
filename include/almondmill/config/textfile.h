#pragma once

#include <string>

namespace almondmill {

/// The whole content of a file. Throws Error "config.206" when it can't be read.
std::string readTextFile(const std::string &file);

} // namespace almondmill
