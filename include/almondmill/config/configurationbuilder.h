#pragma once

#include "almondmill/config/configuration.h"

#include <memory>

namespace almondmill {

class Findings;
class PartCache;
struct ConfigurationRoot;

/// Assembles the configuration of `root` from the parts in `cache` and validates it. Returns null
/// and adds the reasons to `findings` if a part is missing or the configuration is invalid.
std::shared_ptr<const Configuration> buildConfiguration(const ConfigurationRoot &root,
                                                        const PartCache &cache, Findings &findings);

} // namespace almondmill
