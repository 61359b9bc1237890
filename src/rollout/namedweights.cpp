#include "almondmill/rollout/namedweights.h"

#include "almondmill/forward/weightstargets.h"
#include "almondmill/observe/eventline.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Older versions have no deadline left; also bounds what a malformed record may say.
constexpr std::chrono::hours MaxAge{24};

milliseconds unixTime()
{
    return std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

std::string serializeNamedWeights(const WeightsTargets &targets)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    json entries = json::array();
    for (const WeightsTarget &target : targets.all()) {
        for (const auto &[version, since] : targets.knownVersions(target.model)) {
            const auto namedAt = unixTime() - std::chrono::duration_cast<milliseconds>(now - since);
            entries.push_back({target.model, version, namedAt.count()});
        }
    }
    return entries.dump();
}

void restoreNamedWeights(WeightsTargets &targets, const std::string &text)
{
    if (text.empty())
        return;
    const SteadyTime now = std::chrono::steady_clock::now();
    try {
        for (const json &entry : json::parse(text)) {
            const WeightsTarget target{entry.at(0).get<std::string>(),
                                       entry.at(1).get<std::uint64_t>()};
            const auto age = unixTime() - milliseconds(entry.at(2).get<std::int64_t>());
            const auto limited = std::clamp(age, milliseconds(0), milliseconds(MaxAge));
            targets.learn(target, now - limited);
        }
    } catch (const json::exception &error) {
        EventLine("weights.note_unreadable").add("reason", error.what());
    }
}

} // namespace almondmill
