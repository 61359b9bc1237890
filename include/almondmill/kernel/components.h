#pragma once

#include "almondmill/kernel/component.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondmill {

/// All registered components of a router process.
class Components
{
public:
    /// Creates every registered component.
    explicit Components(Node &node);
    ~Components();
    Components(const Components &) = delete;
    Components &operator=(const Components &) = delete;

    /// Returns the state of every component as a JSON object, keyed by component name.
    nlohmann::json dump() const;

    /// Starts the components, stage by stage.
    void start();

    /// Waits until the components have finished their open work, in the reverse order.
    void finishOpenWork();

    /// Stops the started components in the reverse order.
    void stop();

private:
    struct NamedComponent
    {
        std::string name;
        std::unique_ptr<Component> component;
    };

    std::vector<NamedComponent> m_components; ///< In start order.
    std::size_t m_started = 0;
};

} // namespace almondmill
