#include "almondmill/forward/callerrequest.h"

namespace almondmill {

std::size_t CallerRequest::capacity() const
{
    std::size_t bytes = target.capacity() + forwardedFields.capacity() + body.capacity();
    if (!prompt)
        return bytes;
    bytes += prompt->parts.capacity() * sizeof(PromptPart);
    for (const PromptPart &part : prompt->parts)
        bytes += part.id.capacity();
    return bytes;
}

std::string_view CallerRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

} // namespace almondmill
