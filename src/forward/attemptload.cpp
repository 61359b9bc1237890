#include "almondmill/forward/attemptload.h"

#include "almondmill/forward/endpointview.h"

namespace almondmill {

AttemptLoad::AttemptLoad(std::shared_ptr<EndpointView> endpoint, std::uint64_t heldTokens)
    : m_endpoint(std::move(endpoint))
    , m_heldTokens(heldTokens)
{
    m_endpoint->requestOpened(m_heldTokens);
}

AttemptLoad::~AttemptLoad()
{
    endPrefill();
    m_endpoint->requestClosed(m_heldTokens);
}

void AttemptLoad::startPrefill(std::uint64_t tokens)
{
    m_prefillTokens = tokens;
    m_endpoint->prefillStarted(m_prefillTokens);
}

void AttemptLoad::endPrefill()
{
    m_endpoint->prefillEnded(m_prefillTokens);
    m_prefillTokens = 0;
}

} // namespace almondmill
