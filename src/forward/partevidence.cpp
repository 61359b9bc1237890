#include "almondmill/forward/partevidence.h"

#include "almondmill/directory/registration.h"
#include "almondmill/forward/promptrequest.h"
#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

std::uint64_t incarnationHash(const Registration &registration)
{
    return mixHash(hash64(registration.id),
                   static_cast<std::uint64_t>(registration.startedAt.count()));
}

std::vector<PartHash> sharedPartHashes(const PromptRequest &prompt)
{
    std::vector<PartHash> hashes;
    const std::uint64_t model = hash64(prompt.model);
    for (std::size_t part = 0; part + 1 < prompt.parts.size(); ++part)
        hashes.push_back(mixHash(model, hash64(prompt.parts[part].id)));
    return hashes;
}

bool isAnswered(const PartEvidence &evidence)
{
    return std::any_of(evidence.crashes.begin(), evidence.crashes.end(),
                       [](const EngineCrash &crash) { return crash.answered; });
}

} // namespace almondmill
