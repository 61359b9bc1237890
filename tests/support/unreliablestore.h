#pragma once

#include "memorystore.h"

#include <functional>

namespace almondmill::test {

/// An object store in memory whose calls can fail, and which runs a hook around each change, so
/// that tests bring about exact interleavings.
class UnreliableStore : public ObjectStore
{
public:
    /// What happens to a call.
    enum class Fate {
        Normal,
        Outage,     ///< Refused; no effect.
        LoseAnswer, ///< Takes effect; the caller is told that the outcome is unknown.
    };

    /// Fate of the next calls.
    void setFate(Fate fate) { m_fate = fate; }

    /// Called before each changing call, with the object's name.
    void setBeforeChange(std::function<void(const std::string &)> hook)
    {
        m_beforeChange = std::move(hook);
    }

    standin::MemoryStore &inner() { return m_inner; }

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
    UpdateResult change(const std::string &name, const std::function<UpdateResult()> &act);

    standin::MemoryStore m_inner;
    Fate m_fate = Fate::Normal;
    std::function<void(const std::string &)> m_beforeChange;
};

} // namespace almondmill::test
