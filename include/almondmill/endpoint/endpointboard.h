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

/// What this router and the others know of each endpoint, from probes, the VM list and rumours;
/// puts it into the endpoints' states and passes changes on. Safe to call from several threads.
class EndpointBoard : public EndpointRumours
{
public:
    explicit EndpointBoard(const EndpointTable &endpoints);

    bool urgent() const override;
    std::vector<EndpointRumour> take(std::size_t members) override;
    std::vector<EndpointRumour> all() const override;
    void apply(const std::vector<EndpointRumour> &rumours, SteadyTime now) override;
    void applyVms(const std::vector<Vm> &vms, SteadyTime now) override;

    /// Takes a probe's outcome in; nothing when the endpoint gave no answer. One silence proves
    /// nothing; the second in a row holds the endpoint unreachable.
    void observe(std::uint64_t nameHash, const std::optional<EndpointStatus> &status,
                 SteadyTime now);

    /// Puts what is known into the states of the configuration in force, and forgets endpoints that
    /// are no longer in it. Call after each change of the configuration and now and then.
    void refresh(SteadyTime now);

private:
    struct Record
    {
        EndpointRumour rumour;
        unsigned silences = 0;
        bool tookWork = true; ///< Whether it took new work when last looked at.
    };

    void change(Record &record, const EndpointRumour &next, SteadyTime now);
    static void putFlags(Record &record, EndpointState &state, SteadyTime now);

    const EndpointTable &m_endpoints;
    mutable std::mutex m_mutex;
    absl::flat_hash_map<std::uint64_t, Record> m_records;
    RumourBuffer m_rumours;
};

} // namespace almondmill
