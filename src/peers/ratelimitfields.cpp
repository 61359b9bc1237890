#include "ratelimitfields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace almondmill {

using nlohmann::json;

namespace {

using std::chrono::milliseconds;

/// Longer ages are sent and read as this one; they are subtracted from points in time.
constexpr milliseconds MaxAge{std::chrono::hours(24)};

/// Higher rates are read as this one; intervals between requests are computed from them.
constexpr double MaxPerSecond = 1e6;

std::int64_t ageOf(SteadyTime time, SteadyTime now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - time);
    return std::clamp(age, milliseconds(0), MaxAge).count();
}

SteadyTime timeBefore(SteadyTime now, const json &ageMs)
{
    return now - std::clamp(milliseconds(ageMs.get<std::int64_t>()), milliseconds(0), MaxAge);
}

/// No limit for a value that is none.
std::optional<double> decodeRate(const json &field)
{
    if (field.is_null())
        return std::nullopt;
    const auto rate = field.get<double>();
    return std::isnan(rate) ? std::nullopt : std::optional(std::clamp(rate, 0.0, MaxPerSecond));
}

} // namespace

json encodeRateLimit(const RateLimitReport &report, SteadyTime bootNow)
{
    const RateLimitStatement &statement = report.statement;
    json rate;
    if (statement.perSecond)
        rate = *statement.perSecond;
    return json::array({report.endpoint, std::move(rate), ageOf(statement.askedAt, bootNow),
                        ageOf(statement.heardAt, bootNow)});
}

RateLimitReport decodeRateLimit(const json &fields, SteadyTime bootNow)
{
    RateLimitReport report;
    report.endpoint = fields.at(0).get<std::uint64_t>();
    report.statement.perSecond = decodeRate(fields.at(1));
    report.statement.askedAt = timeBefore(bootNow, fields.at(2));
    report.statement.heardAt = timeBefore(bootNow, fields.at(3));
    return report;
}

} // namespace almondmill
