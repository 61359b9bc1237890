#pragma once

#include "memorystore.h"

#include <atomic>
#include <functional>

namespace almondmill::test {

/// A store in memory that counts calls, and whose next change of the root can go wrong.
class FaultyStore : public ObjectStore
{
public:
    /// What happens to the next update or creation of an object under "config/root".
    enum class RootFault {
        None,
        LoseAnswer, ///< It takes effect and its answer is lost.
        LoseCall,   ///< It never arrives, and no answer comes.
    };

    standin::MemoryStore &inner() { return m_inner; }
    unsigned reads() const { return m_reads; }
    unsigned writes() const { return m_writes; }
    unsigned watches() const { return m_watches; }
    std::size_t bytesRead() const { return m_bytesRead; }
    std::size_t bytesWritten() const { return m_bytesWritten; }

    void setRootFault(RootFault fault) { m_rootFault = fault; }
    void setOutage(bool outage) { m_outage = outage; }

    /// Called once, just before the next change of the root.
    void beforeNextRootChange(std::function<void()> action) { m_beforeRoot = std::move(action); }

    /// From now on reads of the root give this object, as a stale replica would.
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
    std::function<void()> m_beforeRoot;
    std::optional<StoredObject> m_staleRoot;
};

} // namespace almondmill::test
