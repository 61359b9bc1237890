#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/store/readresult.h"
#include "almondmill/store/updateresult.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace almondmill {

/// What the router keeps or reads in the platform's store.
enum class ObjectKind {
    RoutingConfiguration, ///< The operator's desired state, one object.
    Registrations,        ///< One object for each endpoint, written by it.
    WeightsTargets,       ///< One object for each model: the version that engines should serve.
    Leases,               ///< The router's own.
    Routers,              ///< The router's own: one object for each router process.
};

/// One change of an object.
struct ObjectEvent
{
    StoredObject object;
    bool deleted = false;
};

/// Changes after the revision asked for, in order; empty when the wait ran out.
struct ObjectEvents
{
    std::vector<ObjectEvent> events;
    std::uint64_t revision = 0; ///< To go on from.
};

/// The store no longer has the changes asked for.
struct HistoryGone
{};

using EventsResult = std::variant<ObjectEvents, HistoryGone, Unavailable>;

/// The platform's object store for the event loop. Outages are results, never exceptions; each call
/// ends by its deadline.
class AsyncStore
{
public:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;

    virtual ~AsyncStore() = default;

    virtual Awaitable<ReadResult> read(ObjectKind kind, std::string name, SteadyTime deadline) = 0;

    /// All objects of the kind.
    virtual Awaitable<ListResult> list(ObjectKind kind, SteadyTime deadline) = 0;

    /// Waits for changes after `revision` for at most `wait`.
    virtual Awaitable<EventsResult> events(ObjectKind kind, std::uint64_t revision,
                                           std::chrono::milliseconds wait, SteadyTime deadline) = 0;

    /// Conflict when an object of that name exists.
    virtual Awaitable<UpdateResult> create(ObjectKind kind, std::string name, std::string value,
                                           SteadyTime deadline) = 0;

    /// Conflict when the object's version is not `expectedVersion`.
    virtual Awaitable<UpdateResult> update(ObjectKind kind, std::string name, std::string value,
                                           std::uint64_t expectedVersion, SteadyTime deadline) = 0;
};

} // namespace almondmill
