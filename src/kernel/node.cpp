#include "almondmill/kernel/node.h"

#include "almondmill/kernel/randomid.h"
#include "almondmill/placement/placer.h"

namespace almondmill {

Node::Node(Settings nodeSettings)
    : settings(std::move(nodeSettings))
    , incarnation(randomIncarnation())
{}

Node::~Node() = default;

} // namespace almondmill
