#pragma once

#include <string_view>

namespace almondmill {

struct AttemptHead;

/// Receives the answer of one attempt as it arrives. Returning false cancels the attempt.
class AttemptObserver
{
public:
    virtual ~AttemptObserver() = default;

    virtual bool onHead(const AttemptHead &head) = 0;
    virtual bool onBytes(std::string_view bytes) = 0;
};

} // namespace almondmill
