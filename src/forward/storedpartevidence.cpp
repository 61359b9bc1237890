#include "almondmill/forward/storedpartevidence.h"

#include "almondmill/kernel/hash.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace almondmill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Bound of the ages that are read, well beyond the time for which evidence is kept.
constexpr milliseconds MaxAge{std::chrono::hours(24)};

/// Hashes are written as text, since a store may not keep all digits of a large number.
std::string encodeHash(std::uint64_t hash)
{
    return absl::StrCat(absl::Hex(hash));
}

std::uint64_t decodeHash(const json &field)
{
    std::uint64_t hash = 0;
    if (!absl::SimpleHexAtoi(field.get<std::string>(), &hash))
        throw std::invalid_argument("not a hash");
    return hash;
}

std::int64_t encodeTime(SteadyTime time, const EvidenceTime &now)
{
    const WallTime wall =
            now.wall - std::chrono::duration_cast<WallTime::duration>(now.steady - time);
    return std::chrono::duration_cast<milliseconds>(wall.time_since_epoch()).count();
}

SteadyTime decodeTime(const json &field, const EvidenceTime &now)
{
    const auto wall = std::chrono::duration_cast<milliseconds>(now.wall.time_since_epoch());
    const auto age = wall - milliseconds(field.get<std::int64_t>());
    return now.steady - std::clamp(age, milliseconds(0), MaxAge);
}

json encodePart(const PartEvidence &evidence, const EvidenceTime &now)
{
    json crashes = json::array();
    for (const EngineCrash &crash : evidence.crashes) {
        crashes.push_back({{"engine", encodeHash(crash.engine)},
                           {"at_ms", encodeTime(crash.at, now)},
                           {"answered", crash.answered}});
    }
    return {{"part", encodeHash(evidence.part)}, {"crashes", std::move(crashes)}};
}

PartEvidence decodePart(const json &fields, const EvidenceTime &now)
{
    PartEvidence evidence;
    evidence.part = decodeHash(fields.at("part"));
    for (const json &crash : fields.at("crashes"))
        evidence.crashes.push_back({decodeHash(crash.at("engine")),
                                    decodeTime(crash.at("at_ms"), now),
                                    crash.at("answered").get<bool>()});
    std::sort(evidence.crashes.begin(), evidence.crashes.end(),
              [](const EngineCrash &first, const EngineCrash &second) {
                  return first.at < second.at;
              });
    return evidence;
}

} // namespace

EvidenceTime EvidenceTime::now()
{
    return {std::chrono::steady_clock::now(), std::chrono::system_clock::now()};
}

std::string encodeStoredEvidence(const std::vector<PartEvidence> &evidence, const EvidenceTime &now)
{
    json parts = json::array();
    for (const PartEvidence &part : evidence)
        parts.push_back(encodePart(part, now));
    return json{{"parts", std::move(parts)}}.dump();
}

std::optional<std::vector<PartEvidence>> decodeStoredEvidence(std::string_view text,
                                                              const EvidenceTime &now)
{
    try {
        const json object = json::parse(text);
        std::vector<PartEvidence> evidence;
        for (const json &part : object.at("parts"))
            evidence.push_back(decodePart(part, now));
        return evidence;
    } catch (const json::exception &) {
        return std::nullopt;
    } catch (const std::invalid_argument &) {
        return std::nullopt;
    }
}

std::uint64_t digestOf(const std::vector<PartEvidence> &evidence)
{
    std::uint64_t digest = 0;
    for (const PartEvidence &part : evidence) {
        for (const EngineCrash &crash : part.crashes)
            digest += mixHash(mixHash(part.part, crash.engine), crash.answered ? 1 : 0);
    }
    return digest;
}

} // namespace almondmill
