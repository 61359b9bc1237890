#include "support/unreliablestore.h"

namespace almondmill::test {

namespace {
constexpr const char *OutageReason = "outage";
} // namespace

ReadResult UnreliableStore::read(const std::string &name, std::chrono::milliseconds timeout)
{
    if (m_fate == Fate::Outage)
        return Unavailable{OutageReason};
    return m_inner.read(name, timeout);
}

ListResult UnreliableStore::list(const std::string &prefix, std::chrono::milliseconds timeout)
{
    if (m_fate == Fate::Outage)
        return Unavailable{OutageReason};
    return m_inner.list(prefix, timeout);
}

WatchResult UnreliableStore::watch(const std::string &prefix, std::uint64_t revision,
                                   std::chrono::milliseconds wait)
{
    if (m_fate == Fate::Outage)
        return Unavailable{OutageReason};
    return m_inner.watch(prefix, revision, wait);
}

UpdateResult UnreliableStore::createIfAbsent(const std::string &name, const std::string &value,
                                             std::chrono::milliseconds timeout)
{
    return change(name, [&] { return m_inner.createIfAbsent(name, value, timeout); });
}

UpdateResult UnreliableStore::update(const std::string &name, const std::string &value,
                                     std::uint64_t expectedVersion,
                                     std::chrono::milliseconds timeout)
{
    return change(name, [&] { return m_inner.update(name, value, expectedVersion, timeout); });
}

UpdateResult UnreliableStore::remove(const std::string &name, std::uint64_t expectedVersion,
                                     std::chrono::milliseconds timeout)
{
    return change(name, [&] { return m_inner.remove(name, expectedVersion, timeout); });
}

UpdateResult UnreliableStore::change(const std::string &name,
                                     const std::function<UpdateResult()> &apply)
{
    if (m_beforeChange)
        m_beforeChange(name);
    if (m_fate == Fate::Outage)
        return NotApplied{OutageReason};
    UpdateResult result = apply();
    if (m_fate == Fate::LoseAnswer)
        return OutcomeUnknown{"the answer was lost"};
    return result;
}

} // namespace almondmill::test
