#include "almondmill/store/countingstore.h"

#include "almondmill/metrics/metrics.h"
#include "almondmill/metrics/trafficsums.h"

#include <absl/strings/str_cat.h>

namespace almondmill {

namespace {

template<typename Result>
bool isAnswered(const Result &result)
{
    return !std::holds_alternative<Unavailable>(result);
}

bool isAnswered(const UpdateResult &result)
{
    return std::holds_alternative<Applied>(result) || std::holds_alternative<Conflict>(result);
}

const char *nameOf(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::RoutingConfiguration:
        return "configuration";
    case ObjectKind::Registrations:
        return "registrations";
    case ObjectKind::WeightsTargets:
        return "weights";
    case ObjectKind::Leases:
        return "leases";
    case ObjectKind::Routers:
        return "routers";
    case ObjectKind::PartEvidence:
        return "part_evidence";
    }
    return "other";
}

std::size_t sizeOf(const StoredObject &object)
{
    return object.name.size() + object.value.size();
}

std::size_t sizeOf(const ReadResult &result)
{
    const auto *object = std::get_if<StoredObject>(&result);
    return object ? sizeOf(*object) : 0;
}

std::size_t sizeOf(const ListResult &result)
{
    std::size_t bytes = 0;
    if (const auto *list = std::get_if<ObjectList>(&result)) {
        for (const StoredObject &object : list->objects)
            bytes += sizeOf(object);
    }
    return bytes;
}

std::size_t sizeOf(const EventsResult &result)
{
    std::size_t bytes = 0;
    if (const auto *events = std::get_if<ObjectEvents>(&result)) {
        for (const ObjectEvent &event : events->events)
            bytes += sizeOf(event.object);
    }
    return bytes;
}

} // namespace

CountingStore::CountingStore(std::unique_ptr<AsyncStore> store, Metrics &metrics,
                             TrafficSums &traffic)
    : m_store(std::move(store))
    , m_metrics(metrics)
    , m_traffic(traffic)
{}

void CountingStore::count(const char *verb, ObjectKind kind, bool answered, std::size_t bytes)
{
    const std::string labels = absl::StrCat("verb=\"", verb, "\",object=\"", nameOf(kind), "\"");
    const char *result = answered ? "answered" : "unavailable";
    m_metrics
            .counter("almondmill_store_calls_total",
                     absl::StrCat(labels, ",result=\"", result, "\""))
            .add();
    m_metrics.counter("almondmill_store_bytes_total", labels).add(bytes);
    m_traffic.add(absl::StrCat("store_", nameOf(kind), "_", verb, answered ? "" : "_unavailable"),
                  bytes);
}

AsyncStore::Awaitable<ReadResult> CountingStore::read(ObjectKind kind, std::string name,
                                                      Freshness freshness, SteadyTime deadline)
{
    auto result = co_await m_store->read(kind, std::move(name), freshness, deadline);
    count(freshness == Freshness::Current ? "read" : "stale_read", kind, isAnswered(result),
          sizeOf(result));
    co_return result;
}

AsyncStore::Awaitable<ListResult> CountingStore::list(ObjectKind kind, Freshness freshness,
                                                      SteadyTime deadline)
{
    auto result = co_await m_store->list(kind, freshness, deadline);
    count(freshness == Freshness::Current ? "list" : "stale_list", kind, isAnswered(result),
          sizeOf(result));
    co_return result;
}

AsyncStore::Awaitable<EventsResult> CountingStore::events(ObjectKind kind, std::uint64_t revision,
                                                          std::chrono::milliseconds wait,
                                                          SteadyTime deadline)
{
    auto result = co_await m_store->events(kind, revision, wait, deadline);
    count("events", kind, isAnswered(result), sizeOf(result));
    co_return result;
}

AsyncStore::Awaitable<UpdateResult> CountingStore::create(ObjectKind kind, std::string name,
                                                          std::string value, SteadyTime deadline)
{
    const std::size_t bytes = name.size() + value.size();
    auto result = co_await m_store->create(kind, std::move(name), std::move(value), deadline);
    count("create", kind, isAnswered(result), bytes);
    co_return result;
}

AsyncStore::Awaitable<UpdateResult> CountingStore::update(ObjectKind kind, std::string name,
                                                          std::string value,
                                                          std::uint64_t expectedVersion,
                                                          SteadyTime deadline)
{
    const std::size_t bytes = name.size() + value.size();
    auto result = co_await m_store->update(kind, std::move(name), std::move(value), expectedVersion,
                                           deadline);
    count("update", kind, isAnswered(result), bytes);
    co_return result;
}

} // namespace almondmill
