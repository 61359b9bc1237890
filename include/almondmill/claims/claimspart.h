#pragma once

#include "almondmill/claims/claimsettler.h"
#include "almondmill/claims/claimstore.h"
#include "almondmill/claims/onceonly.h"
#include "almondmill/claims/sweepduty.h"
#include "almondmill/kernel/part.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace almondmill {

/// Claims of a router process: offers OnceOnly through the node, settles ends that could not be
/// written, and sweeps expired claims while this router holds the sweep's lease.
class ClaimsPart : public Part
{
public:
    /// One pass over all parts of the names takes this long.
    static constexpr std::chrono::hours SweepRound{6};
    static constexpr std::chrono::seconds LeaseDuration{60};

    /// How often a router without the lease looks at it, for each live router.
    static constexpr std::chrono::seconds IdleCheckPerRouter{2};
    static constexpr std::chrono::seconds ShortestIdleCheck{30};

    explicit ClaimsPart(Node &node);
    ~ClaimsPart() override;

    Stage stage() const override { return Stage::Fleet; }
    void dump(nlohmann::json &object) const override;
    void start() override;
    void stop() override;

private:
    void run();
    std::chrono::milliseconds sweepOnce();
    std::chrono::milliseconds idleCheck() const;
    bool waitFor(std::chrono::milliseconds time);

    Node &m_node;
    ClaimStore m_claims;
    ClaimSettler m_settler;
    OnceOnly m_onceOnly;
    SweepDuty m_duty;
    Counter &m_swept;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace almondmill
