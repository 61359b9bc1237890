#pragma once

#include "almondmill/store/asyncstore.h"

#include <cstdint>

namespace almondmill {

/// The lists of one kind of objects that are still to be read from the store. A read answers only
/// the requests that were made before it was sent: what was changed since may not be in it.
class ListRequests
{
public:
    /// A read on its way to the store.
    struct Read
    {
        Freshness freshness = Freshness::Current;
        std::uint64_t requests = 0; ///< Requests for a current list that were made before it.
        std::uint64_t upTo = 0;     ///< Revision that was requested before it.
    };

    /// A first list is requested from the beginning.
    explicit ListRequests(Freshness first);

    /// Requests a current list.
    void request();

    /// Requests a list that contains the changes up to `revision`. A stale read is tried first.
    void requestUpTo(std::uint64_t revision);

    bool isPending() const { return m_isPending; }

    /// Describes the read that is sent now.
    Read begin() const;

    /// Records that the read failed. The next one is current; when a stale one would do, every
    /// other one is stale, since a store may fail because many routers list at once.
    void fail();

    /// Records the answer to the read. Returns whether its contents may be used: a stale list is
    /// used only when it holds what is known and what was requested.
    bool complete(const Read &read, std::uint64_t revision, std::uint64_t knownRevision);

private:
    bool m_isPending = true;
    Freshness m_freshness;
    bool m_mayBeStale;            ///< No current list was requested.
    std::uint64_t m_requests = 0; ///< Requests for a current list so far.
    std::uint64_t m_upTo = 0;
};

} // namespace almondmill
