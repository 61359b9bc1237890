#pragma once

#include "memorystore.h"

#include <atomic>
#include <functional>
#include <string>

namespace almondmill::test {

/// Kind and arguments of one call to the store.
struct StoreCall
{
    enum class Kind { Read, List, Create, Update, Remove };

    Kind kind = Kind::Read;
    std::string name;
    std::string value;
};

/// Fault injected into a call.
enum class StoreFault {
    None,
    Refused,     ///< No effect; reported to the caller as not applied.
    RequestLost, ///< No effect; the caller gets an unknown outcome.
    AnswerLost,  ///< Takes effect; the caller gets an unknown outcome.
    Late,        ///< Takes effect in `applyLate`; the caller gets an unknown outcome.
};

/// An in-memory store with a hook that can delay each call or inject a fault into it. Watches are
/// not hooked.
class HookedStore : public ObjectStore
{
public:
    using Hook = std::function<StoreFault(const StoreCall &)>;

    void setHook(Hook hook) { m_hook = std::move(hook); }
    standin::MemoryStore &inner() { return m_inner; }
    unsigned reads() const { return m_reads; }
    unsigned writes() const { return m_writes; }

    /// Applies the changes delayed by `StoreFault::Late`, in the order of their calls.
    void applyLate();

    ReadResult read(const std::string &name, std::chrono::milliseconds timeout) override;
    ListResult list(const std::string &prefix, std::chrono::milliseconds timeout) override;
    WatchResult watch(const std::string &prefix, std::uint64_t revision,
                      std::chrono::milliseconds wait) override;
    UpdateResult createIfAbsent(const std::string &name, const std::string &value,
                                std::chrono::milliseconds timeout) override;
    UpdateResult update(const std::string &name, const std::string &value,
                        std::uint64_t expectedVersion, std::chrono::milliseconds timeout) override;
    UpdateResult remove(const std::string &name, std::uint64_t expectedVersion,
                        std::chrono::milliseconds timeout) override;

private:
    using Change = std::function<UpdateResult()>;

    StoreFault callHook(const StoreCall &call) const;
    UpdateResult change(const StoreCall &call, const Change &apply);

    standin::MemoryStore m_inner;
    Hook m_hook;
    std::mutex m_mutex;
    std::vector<Change> m_late;
    std::atomic<unsigned> m_reads{0};
    std::atomic<unsigned> m_writes{0};
};

} // namespace almondmill::test
