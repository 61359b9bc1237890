#pragma once

#include "almondmill/kernel/registry.h"

#include <nlohmann/json_fwd.hpp>

namespace almondmill {

struct Node;

/// Plug-in component of a router process with its own threads, such as membership or the callers'
/// listener. Components register themselves by name. The daemon creates all of them, starts them
/// stage by stage and stops them in the reverse order.
class Component
{
public:
    /// Start order. A component may use the services that components of earlier stages publish in
    /// the node.
    enum class Stage { Platform, Fleet, Configuration, Serving };

    virtual ~Component() = default;

    virtual Stage stage() const = 0;

    /// Adds the component's state to a JSON object, without secrets. May be called at any time.
    virtual void dump(nlohmann::json &object) const = 0;

    virtual void start() = 0;

    /// Stops accepting work and returns when the open work is finished. Called once before `stop`
    /// during a graceful shutdown.
    virtual void finishOpenWork() {}

    /// Stops the component's threads. Called once after `start`.
    virtual void stop() = 0;
};

using ComponentRegistry = Registry<Component, Node &>;

} // namespace almondmill
