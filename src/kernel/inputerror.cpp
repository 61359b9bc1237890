#include "almondmill/kernel/inputerror.h"

namespace almondmill {

InputError::InputError(std::string id, Findings findings)
    : Error(std::move(id), findings.text())
    , m_findings(std::move(findings))
{}

} // namespace almondmill
