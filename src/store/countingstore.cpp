#include "almondmill/store/countingstore.h"

#include "almondmill/metrics/metrics.h"

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

} // namespace

CountingStore::CountingStore(std::unique_ptr<AsyncStore> store, Metrics &metrics)
    : m_store(std::move(store))
    , m_metrics(metrics)
{}

void CountingStore::count(const char *verb, bool answered)
{
    const std::string labels = std::string("verb=\"") + verb + "\",result=\""
                               + (answered ? "answered" : "unavailable") + "\"";
    m_metrics.counter("almondmill_store_calls_total", labels).add();
}

AsyncStore::Awaitable<ReadResult> CountingStore::read(ObjectKind kind, std::string name,
                                                      Freshness freshness, SteadyTime deadline)
{
    auto result = co_await m_store->read(kind, std::move(name), freshness, deadline);
    count(freshness == Freshness::Current ? "read" : "stale_read", isAnswered(result));
    co_return result;
}

AsyncStore::Awaitable<ListResult> CountingStore::list(ObjectKind kind, Freshness freshness,
                                                      SteadyTime deadline)
{
    auto result = co_await m_store->list(kind, freshness, deadline);
    count(freshness == Freshness::Current ? "list" : "stale_list", isAnswered(result));
    co_return result;
}

AsyncStore::Awaitable<EventsResult> CountingStore::events(ObjectKind kind, std::uint64_t revision,
                                                          std::chrono::milliseconds wait,
                                                          SteadyTime deadline)
{
    auto result = co_await m_store->events(kind, revision, wait, deadline);
    count("events", isAnswered(result));
    co_return result;
}

AsyncStore::Awaitable<UpdateResult> CountingStore::create(ObjectKind kind, std::string name,
                                                          std::string value, SteadyTime deadline)
{
    auto result = co_await m_store->create(kind, std::move(name), std::move(value), deadline);
    count("create", isAnswered(result));
    co_return result;
}

AsyncStore::Awaitable<UpdateResult> CountingStore::update(ObjectKind kind, std::string name,
                                                          std::string value,
                                                          std::uint64_t expectedVersion,
                                                          SteadyTime deadline)
{
    auto result = co_await m_store->update(kind, std::move(name), std::move(value), expectedVersion,
                                           deadline);
    count("update", isAnswered(result));
    co_return result;
}

} // namespace almondmill
