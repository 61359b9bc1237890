#pragma once

#include <cstdlib>
#include <string>

namespace review {

/// Results of a case, as exit codes.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int NotRun = 2;

/// Whether the disruption is wanted: not with TROUBLE=0 in the environment.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// The head fields that every request of these cases has.
inline std::string commonFields(const std::string &requestId, int deadlineMs)
{
    return "Host: reeds.example\r\nAuthorization: Bearer workshop-key\r\nRequest-Id: " + requestId
           + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
}

} // namespace review
