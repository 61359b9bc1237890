#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace almondmill {

/// Sums of this router's control traffic by label since they were last taken. Must be used on the
/// event loop only.
class TrafficSums
{
public:
    struct Sum
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
        std::uint64_t remoteMessages = 0; ///< Of these, to or from another data centre.
        std::uint64_t remoteBytes = 0;
    };

    void add(std::string_view label, std::size_t bytes, bool remote = false);

    /// Writes the event `traffic.sent` with the sums and clears them. Writes nothing when there are
    /// none.
    void writeEvent();

    const std::map<std::string, Sum, std::less<>> &sums() const { return m_sums; }

private:
    std::map<std::string, Sum, std::less<>> m_sums;
};

} // namespace almondmill
