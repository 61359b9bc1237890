#pragma once

#include "almondmill/kernel/error.h"
#include "almondmill/kernel/findings.h"

namespace almondmill {

/// Thrown when an operator's input is rejected. Contains all findings, not only the first.
class InputError : public Error
{
public:
    InputError(std::string id, Findings findings);

    const Findings &findings() const { return m_findings; }

private:
    Findings m_findings;
};

} // namespace almondmill
