#pragma once

#include <chrono>
#include <string>

namespace review {

/// How a part of prompts crashes engines, and when requests with it come.
struct PartTrouble
{
    int engines = 4;

    /// An engine crashes before the first event of its answer, not right after it.
    bool crashesEarly = false;

    int burst = 1; ///< Requests with the part that come at first.
    std::chrono::milliseconds burstInterval{40};

    /// Interval of those that come later.
    std::chrono::milliseconds interval{1000};
};

/// Runs the deployment with sound requests and, in trouble, such a part beside them; writes a
/// record and judges the rules on such parts. Ends the process with the case's exit code.
[[noreturn]] void runPartTrouble(const PartTrouble &trouble, const std::string &recordFile);

} // namespace review
