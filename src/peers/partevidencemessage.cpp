#include "almondmill/peers/partevidencemessage.h"

#include "decodemessage.h"
#include "layoutversions.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Bound of the ages in a message, well beyond the time for which evidence is kept.
constexpr milliseconds MaxAge{std::chrono::hours(24)};

std::int64_t ageOf(SteadyTime time, SteadyTime now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - time);
    return std::clamp(age, milliseconds(0), MaxAge).count();
}

SteadyTime timeBefore(SteadyTime now, const json &ageMs)
{
    return now - std::clamp(milliseconds(ageMs.get<std::int64_t>()), milliseconds(0), MaxAge);
}

json encodeEvidence(const PartEvidence &evidence, SteadyTime now)
{
    json crashes = json::array();
    for (const EngineCrash &crash : evidence.crashes) {
        crashes.push_back(crash.engine);
        crashes.push_back(ageOf(crash.at, now));
        crashes.push_back(crash.answered);
    }
    return json::array({evidence.part, std::move(crashes)});
}

PartEvidence decodeEvidence(const json &fields, SteadyTime now)
{
    PartEvidence evidence;
    evidence.part = fields.at(0).get<PartHash>();
    const json &crashes = fields.at(1);
    for (std::size_t index = 0; index < crashes.size(); index += 3)
        evidence.crashes.push_back({crashes.at(index).get<std::uint64_t>(),
                                    timeBefore(now, crashes.at(index + 1)),
                                    crashes.at(index + 2).get<bool>()});
    std::sort(evidence.crashes.begin(), evidence.crashes.end(),
              [](const EngineCrash &first, const EngineCrash &second) {
                  return first.at < second.at;
              });
    return evidence;
}

} // namespace

std::string encodePartEvidence(const PartEvidenceMessage &message, SteadyTime now)
{
    json evidence = json::array();
    for (const PartEvidence &part : message.evidence)
        evidence.push_back(encodeEvidence(part, now));
    const json fields = json::array({layout::Evidence, message.origin, message.incarnation,
                                     message.sequence, std::move(evidence)});
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

std::optional<PartEvidenceMessage> decodePartEvidence(std::string_view bytes, SteadyTime now)
{
    return decodeMessage(bytes, layout::Evidence, [now](const json &fields) {
        PartEvidenceMessage message;
        message.origin = fields.at(1).get<std::string>();
        message.incarnation = fields.at(2).get<std::uint64_t>();
        message.sequence = fields.at(3).get<std::uint64_t>();
        for (const json &part : fields.at(4))
            message.evidence.push_back(decodeEvidence(part, now));
        return message;
    });
}

} // namespace almondmill
