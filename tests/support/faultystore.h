#pragma once

#include "memorystore.h"

#include <atomic>
#include <functional>

namespace almondmill::test {

/// An in-memory store that counts calls and can inject a fault into the next change of the root.
class FaultyStore : public ObjectStore
{
public:
    /// Fault of the next update, creation or removal of the root object.
    enum class RootFault {
        None,
        LoseAnswer, ///< The change takes effect, but the answer is lost.
        LoseCall,   ///< The call is lost, so the change has no effect.
    };

    standin::MemoryStore &inner() { return m_inner; }
    unsigned reads() const { return m_reads; }
    unsigned writes() const { return m_writes; }
    unsigned watches() const { return m_watches; }
    std::size_t bytesRead() const { return m_bytesRead; }
    std::size_t bytesWritten() const { return m_bytesWritten; }

    void setRootFault(RootFault fault) { m_rootFault = fault; }
    void setOutage(bool outage) { m_outage = outage; }

    /// Sets a function that is called once, directly before the next change of the root.
    void beforeNextRootChange(std::function<void()> action)
    {
        m_beforeRootChange = std::move(action);
    }

    /// Makes reads of the root return this object, as a stale replica would.
    void setStaleRoot(std::optional<StoredObject> root) { m_staleRoot = std::move(root); }

    void resetCounts();

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
    UpdateResult change(const std::string &name, std::size_t bytes,
                        const std::function<UpdateResult()> &call);

    standin::MemoryStore m_inner;
    std::atomic<unsigned> m_reads{0};
    std::atomic<unsigned> m_writes{0};
    std::atomic<unsigned> m_watches{0};
    std::atomic<std::size_t> m_bytesRead{0};
    std::atomic<std::size_t> m_bytesWritten{0};
    RootFault m_rootFault = RootFault::None;
    std::atomic<bool> m_outage{false};
    std::function<void()> m_beforeRootChange;
    std::optional<StoredObject> m_staleRoot;
};

} // namespace almondmill::test
