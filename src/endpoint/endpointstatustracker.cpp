#include "almondmill/endpoint/endpointstatustracker.h"

#include "almondmill/endpoint/endpointtable.h"
#include "almondmill/kernel/log.h"
#include "almondmill/store/vm.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <bit>

namespace almondmill {

namespace {

constexpr std::size_t MaxRumoursPerMessage = 32;

/// A rumour is urgent until it has been sent this many times.
constexpr unsigned UrgentSends = 6;

/// The number of sends of a rumour grows with the logarithm of the fleet's size.
constexpr unsigned SendsPerFleetDoubling = 3;

constexpr unsigned UnansweredProbesBeforeUnreachable = 2;

bool sameStatus(const EndpointRumour &a, const EndpointRumour &b)
{
    return a.incarnation == b.incarnation && a.weightsHash == b.weightsHash
           && a.condition == b.condition && a.vmLeaving == b.vmLeaving;
}

/// Merges two rumours of the same revision. Two routers may raise the revision concurrently, so
/// both reasons for withholding work are kept.
EndpointRumour merge(const EndpointRumour &a, const EndpointRumour &b)
{
    EndpointRumour merged = a.condition >= b.condition ? a : b;
    merged.vmLeaving = a.vmLeaving || b.vmLeaving;
    return merged;
}

std::string withoutPort(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

EndpointSet::StatePointer findState(const EndpointSet &set, std::uint64_t nameHash)
{
    const auto found = std::find_if(set.all().begin(), set.all().end(), [&](const auto &state) {
        return state->nameHash() == nameHash;
    });
    return found == set.all().end() ? nullptr : *found;
}

const char *describe(const EndpointRumour &rumour)
{
    if (rumour.vmLeaving)
        return "is leaving: the VM list marks its VM as leaving.";
    switch (rumour.condition) {
    case EndpointCondition::Leaving:
        return "is leaving: it reports so in its status.";
    case EndpointCondition::Unreachable:
        return "is unreachable: it does not answer status probes.";
    case EndpointCondition::Serving:
        break;
    }
    return "is serving.";
}

} // namespace

EndpointStatusTracker::EndpointStatusTracker(const EndpointTable &endpoints)
    : m_endpoints(endpoints)
{}

bool EndpointStatusTracker::urgent() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_rumours.anySentFewerThan(UrgentSends);
}

std::vector<EndpointRumour> EndpointStatusTracker::take(std::size_t members)
{
    const auto doublings = static_cast<unsigned>(std::bit_width(members));
    const unsigned sendLimit = std::max(UrgentSends, SendsPerFleetDoubling * doublings);
    std::vector<EndpointRumour> rumours;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::uint64_t key : m_rumours.take(MaxRumoursPerMessage, sendLimit)) {
        const auto found = m_records.find(key);
        if (found != m_records.end())
            rumours.push_back(found->second.rumour);
    }
    return rumours;
}

std::vector<EndpointRumour> EndpointStatusTracker::all() const
{
    std::vector<EndpointRumour> rumours;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto &[key, record] : m_records)
        rumours.push_back(record.rumour);
    return rumours;
}

void EndpointStatusTracker::apply(const std::vector<EndpointRumour> &rumours, SteadyTime now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const EndpointRumour &rumour : rumours) {
        Record &record = m_records[rumour.nameHash];
        record.rumour.nameHash = rumour.nameHash;
        if (rumour.revision < record.rumour.revision)
            continue;
        EndpointRumour next = rumour;
        if (rumour.revision == record.rumour.revision)
            next = merge(record.rumour, rumour);
        if (next.revision != record.rumour.revision || !sameStatus(next, record.rumour))
            applyChange(record, next, now);
    }
}

void EndpointStatusTracker::applyVms(const std::vector<Vm> &vms, SteadyTime now)
{
    absl::flat_hash_set<std::string> leaving;
    for (const Vm &vm : vms) {
        if (vm.leaving)
            leaving.insert(vm.address);
    }
    const auto set = m_endpoints.snapshot();
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto &state : set->all()) {
        const std::string &address = state->endpoint().address;
        const bool vmLeaving = leaving.contains(address) || leaving.contains(withoutPort(address));
        Record &record = m_records[state->nameHash()];
        record.rumour.nameHash = state->nameHash();
        if (record.rumour.vmLeaving == vmLeaving)
            continue;
        EndpointRumour next = record.rumour;
        next.vmLeaving = vmLeaving;
        ++next.revision;
        applyChange(record, next, now);
    }
}

void EndpointStatusTracker::recordProbe(std::uint64_t nameHash,
                                        const std::optional<EndpointStatus> &status, SteadyTime now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Record &record = m_records[nameHash];
    record.rumour.nameHash = nameHash;
    record.unansweredProbes = status ? 0 : record.unansweredProbes + 1;
    if (!status && record.unansweredProbes < UnansweredProbesBeforeUnreachable)
        return;
    EndpointRumour next = record.rumour;
    if (status) {
        next.incarnation = status->incarnation;
        next.weightsHash = status->weightsHash;
        next.load = status->inFlight;
        next.condition = status->leaving ? EndpointCondition::Leaving : EndpointCondition::Serving;
    } else {
        next.condition = EndpointCondition::Unreachable;
    }
    if (sameStatus(next, record.rumour))
        return;
    ++next.revision;
    applyChange(record, next, now);
}

void EndpointStatusTracker::refresh(SteadyTime now)
{
    const auto set = m_endpoints.snapshot();
    absl::flat_hash_set<std::uint64_t> present;
    for (const auto &state : set->all())
        present.insert(state->nameHash());
    const std::lock_guard<std::mutex> lock(m_mutex);
    absl::erase_if(m_records, [&](const auto &item) { return !present.contains(item.first); });
    for (const auto &state : set->all()) {
        Record &record = m_records[state->nameHash()];
        record.rumour.nameHash = state->nameHash();
        // A value taken from an answer is newer than the last rumour, so it is not overwritten.
        if (state->incarnation() == 0)
            state->setIncarnation(record.rumour.incarnation);
        if (state->weightsHash() == 0)
            state->setWeightsHash(record.rumour.weightsHash);
        updateStateFlags(record, *state, now);
    }
}

void EndpointStatusTracker::applyChange(Record &record, const EndpointRumour &next, SteadyTime now)
{
    const EndpointRumour earlier = record.rumour;
    record.rumour = next;
    m_rumours.add(next.nameHash);
    const auto state = findState(*m_endpoints.snapshot(), next.nameHash);
    if (!state)
        return;
    if (next.incarnation != 0 && next.incarnation != earlier.incarnation) {
        state->setIncarnation(next.incarnation);
        // The endpoint restarted with an empty cache.
        if (earlier.incarnation != 0)
            state->startSlowStart(now);
    }
    if (next.weightsHash != 0 && next.weightsHash != earlier.weightsHash)
        state->setWeightsHash(next.weightsHash);
    updateStateFlags(record, *state, now);
    if (next.condition != earlier.condition || next.vmLeaving != earlier.vmLeaving) {
        log(LogLevel::Info, "endpoint",
            "Endpoint " + state->endpoint().name + " " + describe(next));
    }
}

/// An endpoint that accepts work again gets its share of requests gradually.
void EndpointStatusTracker::updateStateFlags(Record &record, EndpointState &state, SteadyTime now)
{
    const EndpointRumour &rumour = record.rumour;
    const bool takesWork = rumour.condition == EndpointCondition::Serving && !rumour.vmLeaving
                           && !state.endpoint().leaving;
    if (takesWork && !record.acceptedWork)
        state.startSlowStart(now);
    record.acceptedWork = takesWork;
    state.setLeaving(rumour.vmLeaving || rumour.condition == EndpointCondition::Leaving);
    state.setUnreachable(rumour.condition == EndpointCondition::Unreachable);
}

} // namespace almondmill
