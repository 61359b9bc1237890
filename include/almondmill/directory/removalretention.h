#pragma once

#include "almondmill/directory/storeoutage.h"
#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace almondmill {

struct Registration;

/// Which entries a router keeps although the store no longer has them. Entries expire in an outage
/// of the store, and live endpoints renew them shortly after it. An entry that was written after
/// the outage cannot have expired in it, so its removal counts at once.
class RemovalRetention
{
public:
    /// Retains entries after an outage.
    void begin(const StoreOutage::Period &outage);

    /// Retains entries as another router does, which will do so for `timeLeft`.
    void follow(std::chrono::milliseconds timeLeft, SteadyTime now);

    /// Ends the retention when another router, which the store has answered for `answeringFor`,
    /// shows that there was no outage. Returns whether it ended.
    bool endIfAnswered(std::chrono::milliseconds answeringFor, SteadyTime now);

    /// Records a revision of the store that was read. The first one after the outage tells apart
    /// the entries that were written since.
    void recordRead(std::uint64_t revision);

    /// Whether the entry is kept when the store no longer has it.
    bool retains(const Registration &entry, SteadyTime now) const;

    /// Zero when no entries are retained.
    std::chrono::milliseconds timeLeft(SteadyTime now) const;

private:
    SteadyTime m_outageBegin;
    SteadyTime m_until;
    std::optional<std::uint64_t> m_firstRevision; ///< First revision that was read afterwards.
};

} // namespace almondmill
