#pragma once

#include "almondmill/kernel/part.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondmill {

/// All registered parts of a process.
class Parts
{
public:
    /// Makes every registered part.
    explicit Parts(Node &node);
    ~Parts();
    Parts(const Parts &) = delete;
    Parts &operator=(const Parts &) = delete;

    /// The state of every part by its name, as JSON.
    nlohmann::json dump() const;

    /// Starts the parts, stage by stage.
    void start();

    /// Lets them finish what is open, in the reverse order.
    void finishOpenWork();

    /// Stops them in the reverse order.
    void stop();

private:
    struct NamedPart
    {
        std::string name;
        std::unique_ptr<Part> part;
    };

    std::vector<NamedPart> m_parts; ///< In the order of starting.
    std::size_t m_started = 0;
};

} // namespace almondmill
