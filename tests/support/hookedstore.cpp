#include "support/hookedstore.h"

namespace almondmill::test {

void HookedStore::applyLate()
{
    std::vector<Change> late;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        late.swap(m_late);
    }
    for (const Change &apply : late)
        apply();
}

ReadResult HookedStore::read(const std::string &name, std::chrono::milliseconds timeout)
{
    ++m_reads;
    if (callHook({StoreCall::Kind::Read, name, {}}) != StoreFault::None)
        return Unavailable{"fault"};
    return m_inner.read(name, timeout);
}

ListResult HookedStore::list(const std::string &prefix, std::chrono::milliseconds timeout)
{
    ++m_reads;
    if (callHook({StoreCall::Kind::List, prefix, {}}) != StoreFault::None)
        return Unavailable{"fault"};
    return m_inner.list(prefix, timeout);
}

WatchResult HookedStore::watch(const std::string &prefix, std::uint64_t revision,
                               std::chrono::milliseconds wait)
{
    return m_inner.watch(prefix, revision, wait);
}

UpdateResult HookedStore::createIfAbsent(const std::string &name, const std::string &value,
                                         std::chrono::milliseconds timeout)
{
    return change({StoreCall::Kind::Create, name, value}, [this, name, value, timeout] {
        return m_inner.createIfAbsent(name, value, timeout);
    });
}

UpdateResult HookedStore::update(const std::string &name, const std::string &value,
                                 std::uint64_t expectedVersion, std::chrono::milliseconds timeout)
{
    return change({StoreCall::Kind::Update, name, value},
                  [this, name, value, expectedVersion, timeout] {
                      return m_inner.update(name, value, expectedVersion, timeout);
                  });
}

UpdateResult HookedStore::remove(const std::string &name, std::uint64_t expectedVersion,
                                 std::chrono::milliseconds timeout)
{
    return change({StoreCall::Kind::Remove, name, {}}, [this, name, expectedVersion, timeout] {
        return m_inner.remove(name, expectedVersion, timeout);
    });
}

StoreFault HookedStore::callHook(const StoreCall &call) const
{
    return m_hook ? m_hook(call) : StoreFault::None;
}

UpdateResult HookedStore::change(const StoreCall &call, const Change &apply)
{
    ++m_writes;
    switch (callHook(call)) {
    case StoreFault::None:
        return apply();
    case StoreFault::Refused:
        return NotApplied{"fault"};
    case StoreFault::RequestLost:
        return OutcomeUnknown{"fault"};
    case StoreFault::AnswerLost:
        apply();
        return OutcomeUnknown{"fault"};
    case StoreFault::Late: {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_late.push_back(apply);
        return OutcomeUnknown{"fault"};
    }
    }
    return OutcomeUnknown{"fault"};
}

} // namespace almondmill::test
