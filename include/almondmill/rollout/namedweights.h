#pragma once

#include <string>

namespace almondmill {

class WeightsTargets;

/// Serializes the named weights versions, each with the Unix time when it was named. The lease
/// holder stores this text in the note of the lease, because the store does not say when a version
/// was named and routers that start later need that time.
std::string serializeNamedWeights(const WeightsTargets &targets);

/// Restores versions from such a text. A text that cannot be parsed is logged and ignored; a time
/// in the future counts as the present.
void restoreNamedWeights(WeightsTargets &targets, const std::string &text);

} // namespace almondmill
