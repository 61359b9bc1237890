#include "almondmill/request/refusederror.h"

namespace almondmill {

RefusedError::RefusedError(Refusal refusal)
    : Error("request." + std::to_string(refusal.status), refusal.message)
    , m_refusal(std::move(refusal))
{}

} // namespace almondmill
