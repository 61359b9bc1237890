#pragma once

#include "almondmill/endpoint/endpointrumours.h"
#include "almondmill/endpoint/endpointstatus.h"
#include "almondmill/fleet/rumourbuffer.h"

#include <absl/container/flat_hash_map.h>

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

class EndpointState;
class EndpointTable;

/// Status of each endpoint, merged from this router's probes, the VM list and the rumours of other
/// routers. Writes it to the endpoints' states and disseminates changes. Thread-safe.
class EndpointStatusTracker : public EndpointRumours
{
public:
    explicit EndpointStatusTracker(const EndpointTable &endpoints);

    bool urgent() const override;
    std::vector<EndpointRumour> take(std::size_t members) override;
    std::vector<EndpointRumour> all() const override;
    void apply(const std::vector<EndpointRumour> &rumours, SteadyTime now) override;
    void applyVms(const std::vector<Vm> &vms, SteadyTime now) override;

    /// Records the result of a probe; `status` is empty when the endpoint did not answer. A single
    /// unanswered probe has no effect, because one lost message can cause it; after the second in a
    /// row the endpoint counts as unreachable.
    void recordProbe(std::uint64_t nameHash, const std::optional<EndpointStatus> &status,
                     SteadyTime now);

    /// Writes the known status to the states of the configuration in force, and removes endpoints
    /// that are no longer in it. Called after each change of the configuration and periodically.
    void refresh(SteadyTime now);

private:
    struct Record
    {
        EndpointRumour rumour;
        unsigned unansweredProbes = 0;
        bool acceptedWork = true; ///< Whether it accepted new work at the last update.
    };

    void applyChange(Record &record, const EndpointRumour &next, SteadyTime now);
    static void updateStateFlags(Record &record, EndpointState &state, SteadyTime now);

    const EndpointTable &m_endpoints;
    mutable std::mutex m_mutex;
    absl::flat_hash_map<std::uint64_t, Record> m_records;
    RumourBuffer m_rumours;
};

} // namespace almondmill
