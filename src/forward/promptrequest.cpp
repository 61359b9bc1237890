#include "almondmill/forward/promptrequest.h"

#include "almondmill/kernel/hash.h"

namespace almondmill {

std::uint64_t sharedPartHash(const PromptRequest &prompt)
{
    if (prompt.parts.empty())
        return 0;
    // The last part is not shared; the one before it identifies the longest shared prefix.
    const std::size_t shared = prompt.parts.size() > 1 ? prompt.parts.size() - 2 : 0;
    return hash64(prompt.parts[shared].id);
}

} // namespace almondmill
