#pragma once

#include <string>

namespace almondmill {

/// Empties the text and frees its buffer. Assigning an empty string would keep the buffer.
inline void releaseMemory(std::string &text)
{
    std::string().swap(text);
}

} // namespace almondmill
