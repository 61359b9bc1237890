#pragma once

#include "memorystore.h"

#include <functional>

namespace almondmill::test {

/// An in-memory object store whose calls can fail, with a hook that runs before each change, so
/// that tests can produce exact interleavings.
class UnreliableStore : public ObjectStore
{
public:
    /// Outcome of a call.
    enum class Fate {
        Normal,
        Outage,     ///< The call is refused and has no effect.
        LoseAnswer, ///< A change takes effect; the caller gets an unknown outcome.
    };

    /// Sets the outcome of all following calls.
    void setFate(Fate fate) { m_fate = fate; }

    /// Sets a function that is called with the object's name before each change.
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
    UpdateResult change(const std::string &name, const std::function<UpdateResult()> &apply);

    standin::MemoryStore m_inner;
    Fate m_fate = Fate::Normal;
    std::function<void(const std::string &)> m_beforeChange;
};

} // namespace almondmill::test
