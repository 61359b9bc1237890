#include "almondmill/http/hopbyhopfields.h"

#include "almondmill/http/httphead.h"
#include "almondmill/kernel/abslview.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace almondmill {

namespace {

constexpr std::array<std::string_view, 9> HopByHopNames{"Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Authorization",
                                                        "Proxy-Connection",
                                                        "TE",
                                                        "Trailer",
                                                        "Transfer-Encoding",
                                                        "Upgrade"};

bool listsOption(std::string_view list, std::string_view option)
{
    for (const absl::string_view item : absl::StrSplit(abslView(list), ',')) {
        const absl::string_view trimmed = absl::StripAsciiWhitespace(item);
        if (sameHeaderName({trimmed.data(), trimmed.size()}, option))
            return true;
    }
    return false;
}

} // namespace

bool hasConnectionOption(const HttpFields &fields, std::string_view option)
{
    const auto &all = fields.all();
    return std::any_of(all.begin(), all.end(), [&](const HttpField &field) {
        return sameHeaderName(field.name, "Connection") && listsOption(field.value, option);
    });
}

bool isHopByHopField(std::string_view name, const HttpFields &fields)
{
    const bool wellKnown =
            std::any_of(HopByHopNames.begin(), HopByHopNames.end(),
                        [&](std::string_view hop) { return sameHeaderName(name, hop); });
    return wellKnown || hasConnectionOption(fields, name);
}

} // namespace almondmill
