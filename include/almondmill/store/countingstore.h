#pragma once

#include "almondmill/store/asyncstore.h"

#include <memory>

namespace almondmill {

class Metrics;

/// Forwards calls to another store and counts them by verb and result.
class CountingStore : public AsyncStore
{
public:
    CountingStore(std::unique_ptr<AsyncStore> store, Metrics &metrics);

    Awaitable<ReadResult> read(ObjectKind kind, std::string name, Freshness freshness,
                               SteadyTime deadline) override;
    Awaitable<ListResult> list(ObjectKind kind, Freshness freshness, SteadyTime deadline) override;
    Awaitable<EventsResult> events(ObjectKind kind, std::uint64_t revision,
                                   std::chrono::milliseconds wait, SteadyTime deadline) override;
    Awaitable<UpdateResult> create(ObjectKind kind, std::string name, std::string value,
                                   SteadyTime deadline) override;
    Awaitable<UpdateResult> update(ObjectKind kind, std::string name, std::string value,
                                   std::uint64_t expectedVersion, SteadyTime deadline) override;

private:
    void count(const char *verb, bool answered);

    std::unique_ptr<AsyncStore> m_store;
    Metrics &m_metrics;
};

} // namespace almondmill
