#pragma once

#include "almondmill/kernel/registry.h"
#include "almondmill/store/objectstore.h"
#include "almondmill/store/vmlist.h"

namespace almondmill {

struct Node;

/// Object API and VM list of a platform. Implementations register under the name that the settings
/// refer to.
class Platform : public ObjectStore, public VmList
{};

using PlatformRegistry = Registry<Platform, Node &>;

} // namespace almondmill
