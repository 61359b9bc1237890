#include "almondmill/kernel/error.h"

namespace almondmill {

Error::Error(std::string id, const std::string &message)
    : std::runtime_error("[" + id + "] " + message)
    , m_id(std::move(id))
{}

} // namespace almondmill
