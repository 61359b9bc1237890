#include "support/scriptedstore.h"

#include "almondmill/http/asyncsleep.h"

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

/// Interval at which a waiting watch looks for changes.
constexpr milliseconds WatchStep{5};

} // namespace

ScriptedStore::ScriptedStore(boost::asio::io_context &loop)
    : m_loop(loop)
{}

void ScriptedStore::write(ObjectKind kind, const std::string &name, const std::string &value)
{
    StoredObject &object = m_objects[{kind, name}];
    object = {name, value, ++m_revision};
    m_history.push_back({kind, {object, false}});
}

void ScriptedStore::remove(ObjectKind kind, const std::string &name)
{
    m_objects.erase({kind, name});
    m_history.push_back({kind, {{name, "", ++m_revision}, true}});
}

std::size_t ScriptedStore::lists(ObjectKind kind) const
{
    const auto found = m_lists.find(kind);
    return found == m_lists.end() ? 0 : found->second;
}

std::size_t ScriptedStore::watches(ObjectKind kind) const
{
    const auto found = m_watches.find(kind);
    return found == m_watches.end() ? 0 : found->second;
}

AsyncStore::Awaitable<ReadResult> ScriptedStore::read(ObjectKind kind, std::string name, Freshness,
                                                      SteadyTime)
{
    ++m_reads;
    if (!m_isAvailable)
        co_return Unavailable{"down"};
    const auto found = m_objects.find({kind, name});
    if (found == m_objects.end())
        co_return Absent{};
    const StoredObject object = found->second;
    co_await deliver(kind);
    co_return object;
}

AsyncStore::Awaitable<ListResult> ScriptedStore::list(ObjectKind kind, Freshness, SteadyTime)
{
    ++m_lists[kind];
    if (!m_isAvailable)
        co_return Unavailable{"down"};
    ObjectList list;
    list.revision = m_revision;
    for (const auto &[key, object] : m_objects) {
        if (key.first == kind)
            list.objects.push_back(object);
    }
    co_await deliver(kind);
    co_return list;
}

AsyncStore::Awaitable<EventsResult> ScriptedStore::events(ObjectKind kind, std::uint64_t revision,
                                                          milliseconds wait, SteadyTime deadline)
{
    ++m_watches[kind];
    const std::size_t cuts = m_cuts[kind];
    const std::size_t silenced = m_silenced[kind];
    const auto end = std::chrono::steady_clock::now() + wait;
    ObjectEvents found = eventsAfter(kind, revision);
    while (found.events.empty() && std::chrono::steady_clock::now() < end) {
        co_await sleepFor(m_loop, WatchStep);
        if (!m_isAvailable || m_cuts[kind] != cuts)
            co_return Unavailable{"cut"};
        if (m_silenced[kind] != silenced)
            co_return co_await loseAnswer(deadline);
        found = eventsAfter(kind, revision);
    }
    if (!m_isAvailable)
        co_return Unavailable{"down"};
    co_await deliver(kind);
    co_return found;
}

AsyncStore::Awaitable<UpdateResult> ScriptedStore::create(ObjectKind kind, std::string name,
                                                          std::string value, SteadyTime)
{
    if (!m_isAvailable)
        co_return NotApplied{"down"};
    const auto found = m_objects.find({kind, name});
    if (found != m_objects.end())
        co_return Conflict{found->second};
    write(kind, name, value);
    co_return Applied{m_revision};
}

AsyncStore::Awaitable<UpdateResult> ScriptedStore::update(ObjectKind kind, std::string name,
                                                          std::string value,
                                                          std::uint64_t expectedVersion, SteadyTime)
{
    if (!m_isAvailable)
        co_return NotApplied{"down"};
    const auto found = m_objects.find({kind, name});
    if (found == m_objects.end())
        co_return Conflict{};
    if (found->second.version != expectedVersion)
        co_return Conflict{found->second};
    write(kind, name, value);
    co_return Applied{m_revision};
}

AsyncStore::Awaitable<EventsResult> ScriptedStore::loseAnswer(SteadyTime deadline)
{
    const auto left = deadline - std::chrono::steady_clock::now();
    co_await sleepFor(m_loop, std::chrono::ceil<milliseconds>(left));
    co_return Unavailable{"no answer"};
}

ObjectEvents ScriptedStore::eventsAfter(ObjectKind kind, std::uint64_t revision) const
{
    ObjectEvents found;
    found.revision = m_revision;
    for (const auto &[changedKind, event] : m_history) {
        if (changedKind == kind && event.object.version > revision)
            found.events.push_back(event);
    }
    return found;
}

AsyncStore::Awaitable<void> ScriptedStore::deliver(ObjectKind kind)
{
    const auto delay = m_delays.find(kind);
    if (delay != m_delays.end())
        co_await sleepFor(m_loop, delay->second);
}

} // namespace almondmill::test
