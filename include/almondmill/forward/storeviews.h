#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/store/readresult.h"

namespace almondmill {

class AsyncStore;
struct ForwardingContext;
struct ObjectEvents;

/// Brings what the platform's store says into the context: the routing configuration, the
/// registrations and the weights named.
class StoreViews
{
public:
    StoreViews(ForwardingContext &context, AsyncStore &store);

    /// Follows the store from now on.
    void start();

private:
    void applyRouting(const StoredObject &object);
    void applyRegistrations(const ObjectList &list);
    void applyRegistrationEvents(const ObjectEvents &events);
    void applyWeightsTarget(const StoredObject &object, SteadyTime since);
    void followRouting();
    void followRegistrations();
    void followWeights();

    ForwardingContext &m_context;
    AsyncStore &m_store;
};

} // namespace almondmill
