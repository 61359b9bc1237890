#pragma once

namespace almondmill {

class StoreWatcher;

/// Lets one of a router's watchers probe a store that doesn't answer, while its other watchers wait
/// for the outcome. All routers of a fleet probe during an outage, so each call less counts.
class StoreOutage
{
public:
    /// Whether this watcher, whose last call failed, is to call the store next. The first one that
    /// asks becomes the prober.
    bool mayProbe(const StoreWatcher &watcher)
    {
        if (!m_prober)
            m_prober = &watcher;
        return m_prober == &watcher;
    }

    /// Records that the store has answered a call.
    void end() { m_prober = nullptr; }

private:
    const StoreWatcher *m_prober = nullptr; ///< Null while the store answers.
};

} // namespace almondmill
