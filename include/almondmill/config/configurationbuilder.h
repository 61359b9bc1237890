#pragma once

#include "almondmill/config/configuration.h"

#include <memory>

namespace almondmill {

class Findings;
class PartCache;
struct ConfigurationRoot;

/// Builds the configuration that `root` names from parts that are all in `cache`, and checks it.
/// Null, with the reasons in `findings`, when it is not valid.
std::shared_ptr<const Configuration> buildConfiguration(const ConfigurationRoot &root,
                                                        const PartCache &cache, Findings &findings);

} // namespace almondmill
