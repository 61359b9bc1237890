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

/// Keeps a router from working for callers that have given up: requests wait in a bounded fair
/// queue while endpoints have no free slots, and retries are limited to a ratio of the requests.
/// Thread-safe.
class LoadControl
{
public:
    struct Options
    {
        std::size_t queueCapacity = 200;           ///< Waiting requests per model and priority.
        std::chrono::milliseconds queueWait{2000}; ///< Longest time a request waits.
        RetryBudget::Options retries;
    };

    LoadControl(const Options &options, Metrics &metrics);

    /// Waits until an endpoint has a free slot. `states` are the endpoints that serve `model`.
    AdmissionResult admit(const ClientAccount &account, Priority priority, const Model &model,
                          const EndpointSet::States &states);

    /// Whether a request may be retried. Counts the denied retries.
    bool mayRetry(SteadyTime now);

private:
    Options m_options;
    ModelGates m_gates;
    RetryBudget m_budget;
    Counter &m_droppedFull;
    Counter &m_droppedExpired;
    Counter &m_retriesDenied;
};

} // namespace almondmill
