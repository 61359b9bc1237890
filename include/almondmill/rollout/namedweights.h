#pragma once

#include <string>

namespace almondmill {

class WeightsTargets;

/// The versions named and when, by the time of day, as text: what the holder of the lease leaves
/// for routers that start later, since the store doesn't say when a version was named.
std::string describeNamedWeights(const WeightsTargets &targets);

/// Takes over such a text. One that can't be read, or times that lie in the future, tell nothing.
void learnNamedWeights(WeightsTargets &targets, const std::string &text);

} // namespace almondmill
