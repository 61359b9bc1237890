#pragma once

#include "almondmill/kernel/registry.h"

#include <nlohmann/json_fwd.hpp>

namespace almondmill {

struct Node;

/// One part of a router process that runs beside the requests, such as membership or the callers'
/// listener. Parts register themselves by name; the daemon makes all of them, starts them stage by
/// stage and stops them in the reverse order.
class Part
{
public:
    /// Order of starting. A part may use what parts of earlier stages offer through the node.
    enum class Stage { Platform, Fleet, Configuration, Serving };

    virtual ~Part() = default;

    virtual Stage stage() const = 0;

    /// Writes this part's state as members of a JSON object. Holds no secrets. Safe at any time.
    virtual void dump(nlohmann::json &object) const = 0;

    virtual void start() = 0;

    /// Takes no new work and returns when all that is open is done; called once before `stop` at a
    /// graceful shutdown.
    virtual void finishOpenWork() {}

    /// Ends the part's threads; called once after `start`.
    virtual void stop() = 0;
};

using PartRegistry = Registry<Part, Node &>;

} // namespace almondmill
