#include "streamfault.h"

#include "almondmill/kernel/error.h"

#include <array>
#include <string_view>

namespace almondmill::standin {

namespace {

struct NamedMode
{
    std::string_view name;
    StreamFaultMode mode;
};

constexpr std::array<NamedMode, 10> NamedModes{{{"none", StreamFaultMode::None},
                                                {"cut", StreamFaultMode::Cut},
                                                {"stall", StreamFaultMode::Stall},
                                                {"silent", StreamFaultMode::Silent},
                                                {"duplicate", StreamFaultMode::Duplicate},
                                                {"reorder", StreamFaultMode::Reorder},
                                                {"skip", StreamFaultMode::Skip},
                                                {"crossed", StreamFaultMode::Crossed},
                                                {"twice", StreamFaultMode::Twice},
                                                {"other", StreamFaultMode::Other}}};

} // namespace

StreamFaultMode parseStreamFaultMode(const std::string &text)
{
    for (const NamedMode &entry : NamedModes) {
        if (entry.name == text)
            return entry.mode;
    }
    throw Error("standin.102", "unknown stream fault mode '" + text + "'");
}

} // namespace almondmill::standin
