#pragma once

#include "almondmill/kernel/time.h"

#include <cstdint>
#include <vector>

namespace almondmill {

struct PromptRequest;
struct Registration;

/// Identifies a prompt part of a model, whatever its cache scope, the same at every router.
using PartHash = std::uint64_t;

/// Hashes of the parts that other requests may share.
std::vector<PartHash> sharedPartHashes(const PromptRequest &prompt);

/// Hash of an engine's id and start time.
std::uint64_t incarnationHash(const Registration &registration);

/// The end of an engine's process while requests waited there for the start of their answers, or
/// shortly after these had begun.
struct EngineCrash
{
    std::uint64_t engine = 0; ///< See incarnationHash.
    SteadyTime at;
    bool answered = false; ///< A sound answer with the part started after the crash.
};

/// What is known of a prompt part that waited at engines when they crashed.
struct PartEvidence
{
    PartHash part = 0;
    std::vector<EngineCrash> crashes; ///< Ordered by time.
};

/// Whether a sound answer with the part started after one of its crashes.
bool isAnswered(const PartEvidence &evidence);

} // namespace almondmill
