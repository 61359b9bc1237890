#include "almondmill/metrics/trafficsums.h"

#include "almondmill/observe/eventline.h"

#include <absl/strings/str_cat.h>

namespace almondmill {

namespace {

/// Messages/bytes, followed by those of other data centres when there are any.
std::string describe(const TrafficSums::Sum &sum)
{
    std::string text = absl::StrCat(sum.messages, "/", sum.bytes);
    if (sum.remoteMessages != 0)
        absl::StrAppend(&text, "/", sum.remoteMessages, "/", sum.remoteBytes);
    return text;
}

} // namespace

void TrafficSums::add(std::string_view label, std::size_t bytes, bool remote)
{
    auto found = m_sums.find(label);
    if (found == m_sums.end())
        found = m_sums.emplace(label, Sum()).first;
    Sum &sum = found->second;
    ++sum.messages;
    sum.bytes += bytes;
    if (!remote)
        return;
    ++sum.remoteMessages;
    sum.remoteBytes += bytes;
}

void TrafficSums::writeEvent()
{
    if (m_sums.empty())
        return;
    EventLine line("traffic.sent");
    for (const auto &[label, sum] : m_sums)
        line.add(label, describe(sum));
    m_sums.clear();
}

} // namespace almondmill
