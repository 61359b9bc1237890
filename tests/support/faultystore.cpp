#include "support/faultystore.h"

#include "almondmill/config/configurationstore.h"

#include <utility>

namespace almondmill::test {

void FaultyStore::resetCounts()
{
    m_reads = 0;
    m_writes = 0;
    m_watches = 0;
    m_bytesRead = 0;
    m_bytesWritten = 0;
}

ReadResult FaultyStore::read(const std::string &name, std::chrono::milliseconds timeout)
{
    ++m_reads;
    if (m_outage)
        return Unavailable{"outage"};
    auto result = m_inner.read(name, timeout);
    if (name == RootName && m_staleRoot)
        result = *m_staleRoot;
    if (const auto *object = std::get_if<StoredObject>(&result))
        m_bytesRead += object->value.size();
    return result;
}

ListResult FaultyStore::list(const std::string &prefix, std::chrono::milliseconds timeout)
{
    ++m_reads;
    if (m_outage)
        return Unavailable{"outage"};
    return m_inner.list(prefix, timeout);
}

/// Returns immediately, because tests use a simulated clock.
WatchResult FaultyStore::watch(const std::string &prefix, std::uint64_t revision,
                               std::chrono::milliseconds /*wait*/)
{
    ++m_watches;
    if (m_outage)
        return Unavailable{"outage"};
    return m_inner.watch(prefix, revision, std::chrono::milliseconds(0));
}

UpdateResult FaultyStore::createIfAbsent(const std::string &name, const std::string &value,
                                         std::chrono::milliseconds timeout)
{
    return change(name, value.size(), [&] { return m_inner.createIfAbsent(name, value, timeout); });
}

UpdateResult FaultyStore::update(const std::string &name, const std::string &value,
                                 std::uint64_t expectedVersion, std::chrono::milliseconds timeout)
{
    return change(name, value.size(),
                  [&] { return m_inner.update(name, value, expectedVersion, timeout); });
}

UpdateResult FaultyStore::remove(const std::string &name, std::uint64_t expectedVersion,
                                 std::chrono::milliseconds timeout)
{
    return change(name, 0, [&] { return m_inner.remove(name, expectedVersion, timeout); });
}

UpdateResult FaultyStore::change(const std::string &name, std::size_t bytes,
                                 const std::function<UpdateResult()> &call)
{
    ++m_writes;
    if (m_outage)
        return NotApplied{"outage"};
    m_bytesWritten += bytes;
    if (name != RootName)
        return call();
    if (const auto action = std::exchange(m_beforeRootChange, nullptr))
        action();
    switch (std::exchange(m_rootFault, RootFault::None)) {
    case RootFault::None:
        return call();
    case RootFault::LoseAnswer:
        call();
        return OutcomeUnknown{"the answer was lost"};
    case RootFault::LoseCall:
        return OutcomeUnknown{"the call was lost"};
    }
    return call();
}

} // namespace almondmill::test
