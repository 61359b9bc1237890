#pragma once

#include "almondmill/claims/atmostonceexecutor.h"
#include "almondmill/claims/claimsettler.h"
#include "almondmill/claims/claimstore.h"
#include "almondmill/claims/leasedclaimsweeper.h"
#include "almondmill/kernel/component.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace almondmill {

/// Claims of a router process: provides AtMostOnceExecutor through the node, retries outcomes that
/// could not be written, and removes expired claims while this router holds the lease for the
/// sweep.
class ClaimsComponent : public Component
{
public:
    /// Duration of one sweep over all shards of the claim names.
    static constexpr std::chrono::hours SweepRoundDuration{6};
    static constexpr std::chrono::seconds LeaseDuration{60};

    /// A router without the lease checks it at a mean interval of this time multiplied by the
    /// number of live routers, so that the total rate does not grow with the fleet.
    static constexpr std::chrono::seconds LeaseCheckIntervalPerRouter{2};
    static constexpr std::chrono::seconds MinLeaseCheckInterval{30};

    explicit ClaimsComponent(Node &node);
    ~ClaimsComponent() override;

    Stage stage() const override { return Stage::Fleet; }
    void dump(nlohmann::json &object) const override;
    void start() override;
    void stop() override;

private:
    void run();
    std::chrono::milliseconds sweepOnce();
    std::chrono::milliseconds leaseCheckDelay() const;
    bool waitFor(std::chrono::milliseconds time);

    Node &m_node;
    ClaimStore m_claims;
    ClaimSettler m_settler;
    AtMostOnceExecutor m_atMostOnce;
    LeasedClaimSweeper m_sweeper;
    Counter &m_swept;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace almondmill
