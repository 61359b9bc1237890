#pragma once

#include <stdexcept>
#include <string>

namespace almondmill {

/// Base of all exceptions of this project. `id()` is stable across releases; `what()` reads
/// "[part.number] message", with the place where there is one.
class Error : public std::runtime_error
{
public:
    Error(std::string id, const std::string &message);

    /// Stable identifier, such as "config.204".
    const std::string &id() const { return m_id; }

private:
    std::string m_id;
};

} // namespace almondmill
