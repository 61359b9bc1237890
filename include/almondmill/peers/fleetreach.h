#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/peers/openquestions.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace almondmill {

class PermitIssuers;
struct ReachReply;

/// The part of the fleet that this router can reach. Routers exchange state too rarely to notice
/// soon that some are cut off, so a router that needs to know sends probes for as long as it needs
/// to know. Must be used on the event loop only.
class FleetReach
{
public:
    using Send = OpenQuestions<bool>::Send;

    explicit FleetReach(PermitIssuers &issuers);

    void start(Send send) { m_send = std::move(send); }

    /// Sends probes for some time from `now` on.
    void want(SteadyTime now);

    /// Probes one router unless its last answer is recent.
    void check(const std::string &router, SteadyTime now);

    /// Whether there is anything to poll for.
    bool isActive(SteadyTime now) const { return now < m_wantedUntil || !m_questions.empty(); }

    void poll(SteadyTime now);

    bool handleReply(const ReachReply &reply);

    /// Part of all known routers that can be reached, this one included; 1 before enough probes.
    double fraction(SteadyTime now) const;

    /// Since when the router has left probes unanswered; empty when it answered the last one.
    std::optional<SteadyTime> unansweredSince(const std::string &router) const;

private:
    struct Result
    {
        SteadyTime at;
        bool isAnswered = false;
    };

    struct Contact
    {
        SteadyTime checkedAt;
        std::optional<SteadyTime> unansweredSince;
    };

    const std::string &nextRouter();
    void probe(const std::string &router, bool isSample, SteadyTime now);
    void recordResult(const std::string &router, bool isSample, bool isAnswered, SteadyTime sentAt);

    PermitIssuers &m_issuers;
    Send m_send;
    OpenQuestions<bool> m_questions;
    SteadyTime m_wantedUntil;
    SteadyTime m_nextProbeAt;
    std::size_t m_nextRouter = 0;
    std::deque<Result> m_results; ///< Of the latest probes to all routers in turn.
    absl::flat_hash_map<std::string, Contact> m_contacts; ///< By router.
};

} // namespace almondmill
