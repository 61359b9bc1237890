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

/// Kinds of objects that the router reads or writes in the platform's object store.
enum class ObjectKind {
    RoutingConfiguration, ///< One object, written by the operator: the desired state.
    Registrations,        ///< One object per endpoint, written by that endpoint.
    WeightsTargets,       ///< One object per model: the weights version that engines should serve.
    Leases,               ///< Written by the routers.
    Routers,              ///< Written by the routers: one object per router process.
    PartEvidence,         ///< Written by the routers: prompt parts that crash engines.
};

/// How current the answer to a read must be.
enum class Freshness {
    Current,    ///< As of the call.
    MayBeStale, ///< May be seconds old; costs the store a fraction of a current read.
};

/// Creation, update or deletion of one object.
struct ObjectEvent
{
    StoredObject object;
    bool deleted = false;
};

/// Changes after the requested revision, in order. Empty when nothing changed before the wait
/// ended.
struct ObjectEvents
{
    std::vector<ObjectEvent> events;
    std::uint64_t revision = 0; ///< Revision to request the next changes from.
};

/// The changes after the requested revision can't be read: the store no longer holds them, or they
/// are too large for one answer. The caller has to list again.
struct HistoryGone
{};

using EventsResult = std::variant<ObjectEvents, HistoryGone, Unavailable>;

/// Asynchronous access to the platform's object store, for use on the event loop. Outages are
/// reported as results, never as exceptions. Each call completes by its deadline.
class AsyncStore
{
public:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;

    virtual ~AsyncStore() = default;

    virtual Awaitable<ReadResult> read(ObjectKind kind, std::string name, Freshness freshness,
                                       SteadyTime deadline) = 0;

    /// Returns all objects of the kind.
    virtual Awaitable<ListResult> list(ObjectKind kind, Freshness freshness,
                                       SteadyTime deadline) = 0;

    /// Waits at most `wait` for changes after `revision`.
    virtual Awaitable<EventsResult> events(ObjectKind kind, std::uint64_t revision,
                                           std::chrono::milliseconds wait, SteadyTime deadline) = 0;

    /// Returns Conflict if an object of that name exists.
    virtual Awaitable<UpdateResult> create(ObjectKind kind, std::string name, std::string value,
                                           SteadyTime deadline) = 0;

    /// Returns Conflict if the object's version is not `expectedVersion`.
    virtual Awaitable<UpdateResult> update(ObjectKind kind, std::string name, std::string value,
                                           std::uint64_t expectedVersion, SteadyTime deadline) = 0;

    /// The highest era that the store has stated; zero when it states none. See revision.h.
    virtual std::uint64_t era() const { return 0; }
};

} // namespace almondmill
