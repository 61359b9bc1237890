#pragma once

#include <stdexcept>
#include <string>

namespace almondmill {

/// Base class of all exceptions of this project. `id()` is stable across releases; `what()` has the
/// form "[component.number] message", including the location if there is one.
class Error : public std::runtime_error
{
public:
    Error(std::string id, const std::string &message);

    /// Stable error identifier, such as "config.204".
    const std::string &id() const { return m_id; }

private:
    std::string m_id;
};

} // namespace almondmill
