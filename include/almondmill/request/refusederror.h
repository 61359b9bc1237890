#pragma once

#include "almondmill/kernel/error.h"
#include "almondmill/request/refusal.h"

namespace almondmill {

/// Thrown to end the handling of a request with a refusal.
class RefusedError : public Error
{
public:
    explicit RefusedError(Refusal refusal);

    const Refusal &refusal() const { return m_refusal; }

private:
    Refusal m_refusal;
};

} // namespace almondmill
