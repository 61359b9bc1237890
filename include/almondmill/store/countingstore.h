#pragma once

#include "almondmill/store/asyncstore.h"

#include <cstddef>
#include <memory>

namespace almondmill {

class Metrics;
class TrafficSums;

/// Forwards calls to another store and counts them by verb, kind of object and result, and the
/// bytes of the names and values in them, without those of the platform's protocol. A list is one
/// call, however many pages it has.
class CountingStore : public AsyncStore
{
public:
    CountingStore(std::unique_ptr<AsyncStore> store, Metrics &metrics, TrafficSums &traffic);

    Awaitable<ReadResult> read(ObjectKind kind, std::string name, Freshness freshness,
                               SteadyTime deadline) override;
    Awaitable<ListResult> list(ObjectKind kind, Freshness freshness, SteadyTime deadline) override;
    Awaitable<EventsResult> events(ObjectKind kind, std::uint64_t revision,
                                   std::chrono::milliseconds wait, SteadyTime deadline) override;
    Awaitable<UpdateResult> create(ObjectKind kind, std::string name, std::string value,
                                   SteadyTime deadline) override;
    Awaitable<UpdateResult> update(ObjectKind kind, std::string name, std::string value,
                                   std::uint64_t expectedVersion, SteadyTime deadline) override;
    std::uint64_t era() const override { return m_store->era(); }

private:
    void count(const char *verb, ObjectKind kind, bool answered, std::size_t bytes);

    std::unique_ptr<AsyncStore> m_store;
    Metrics &m_metrics;
    TrafficSums &m_traffic;
};

} // namespace almondmill
