#pragma once

#include "almondmill/admission/modelgates.h"
#include "almondmill/admission/retrybudget.h"
#include "almondmill/endpoint/endpointset.h"
#include "almondmill/kernel/time.h"

#include <chrono>
#include <string>

namespace almondmill {

class Counter;
class Metrics;
struct ClientAccount;
struct Model;

/// Keeps a router from working for callers that are gone: requests wait in a bounded fair queue
/// while endpoints have no room, and retries are bounded to a share of the requests. Safe from
/// several threads.
class LoadControl
{
public:
    struct Options
    {
        std::size_t queueCapacity = 200;           ///< Waiting requests a model and priority.
        std::chrono::milliseconds queueWait{2000}; ///< Longest wait of a request.
        RetryBudget::Options retries;
    };

    LoadControl(const Options &options, Metrics &metrics);

    /// Waits until an endpoint has room for a request. `states` serve `model`.
    AdmissionResult admit(const ClientAccount &account, Priority priority, const Model &model,
                          const EndpointSet::States &states);

    /// Whether a request may be sent once more. Counts those that may not.
    bool mayRetry(SteadyTime now);

private:
    Options m_options;
    ModelGates m_gates;
    RetryBudget m_budget;
    Counter &m_full;
    Counter &m_late;
    Counter &m_retriesDenied;
};

} // namespace almondmill
