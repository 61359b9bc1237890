#pragma once

#include <cstdint>
#include <memory>

namespace almondmill {

class EndpointView;

/// Load that an attempt places on its endpoint. It is counted there for as long as this object
/// exists.
class AttemptLoad
{
public:
    /// Counts a request that holds up to `heldTokens` in the endpoint's memory.
    AttemptLoad(std::shared_ptr<EndpointView> endpoint, std::uint64_t heldTokens);
    ~AttemptLoad();
    AttemptLoad(const AttemptLoad &) = delete;
    AttemptLoad &operator=(const AttemptLoad &) = delete;

    /// Counts a prompt of `tokens` as waiting for its first event. Called once at most.
    void startPrefill(std::uint64_t tokens);

    /// Does nothing when no prompt waits.
    void endPrefill();

    bool isPrefilling() const { return m_prefillTokens != 0; }

private:
    std::shared_ptr<EndpointView> m_endpoint;
    std::uint64_t m_heldTokens;
    std::uint64_t m_prefillTokens = 0;
};

} // namespace almondmill
