#include "almondmill/forward/callerrequest.h"

namespace almondmill {

std::string_view CallerRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

} // namespace almondmill
