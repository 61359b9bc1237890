#pragma once

#include "almondmill/store/asyncstore.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace almondmill::test {

/// An object store in memory with one revision counter and its whole history, for use on the event
/// loop. Tests delay its answers, cut waiting watches and end its availability. An answer shows the
/// store as of the call or, for a watch, as of the first change; it is delayed after that.
class ScriptedStore : public AsyncStore
{
public:
    explicit ScriptedStore(boost::asio::io_context &loop);

    void write(ObjectKind kind, const std::string &name, const std::string &value);
    void remove(ObjectKind kind, const std::string &name);
    std::uint64_t revision() const { return m_revision; }

    /// Delays the answers to calls for the kind that are composed from now on.
    void delayAnswers(ObjectKind kind, std::chrono::milliseconds delay) { m_delays[kind] = delay; }

    /// Makes each watch of the kind fail that is waiting now.
    void cutWatches(ObjectKind kind) { ++m_cuts[kind]; }

    /// Loses the answers to the watches of the kind that are waiting now: they end at their
    /// deadlines.
    void silenceWatches(ObjectKind kind) { ++m_silenced[kind]; }

    /// While the store is unavailable, calls fail, and waiting watches end.
    void setAvailable(bool isAvailable) { m_isAvailable = isAvailable; }

    /// Calls of `read` so far.
    std::size_t reads() const { return m_reads; }

    /// Lists of the kind that were requested so far.
    std::size_t lists(ObjectKind kind) const;

    /// Watches of the kind that have begun so far.
    std::size_t watches(ObjectKind kind) const;

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
    using Key = std::pair<ObjectKind, std::string>;

    Awaitable<EventsResult> loseAnswer(SteadyTime deadline);
    ObjectEvents eventsAfter(ObjectKind kind, std::uint64_t revision) const;
    /// Waits for the delay of the kind.
    Awaitable<void> deliver(ObjectKind kind);

    boost::asio::io_context &m_loop;
    std::map<Key, StoredObject> m_objects;
    std::vector<std::pair<ObjectKind, ObjectEvent>> m_history;
    std::map<ObjectKind, std::chrono::milliseconds> m_delays;
    std::map<ObjectKind, std::size_t> m_cuts;
    std::map<ObjectKind, std::size_t> m_silenced;
    std::map<ObjectKind, std::size_t> m_lists;
    std::map<ObjectKind, std::size_t> m_watches;
    std::size_t m_reads = 0;
    std::uint64_t m_revision = 1;
    bool m_isAvailable = true;
};

} // namespace almondmill::test
