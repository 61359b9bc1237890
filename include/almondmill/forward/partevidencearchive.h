#pragma once

#include "almondmill/store/storedobject.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>

namespace almondmill {

class AsyncStore;
class PartBreakers;

/// Keeps the evidence by which requests are refused in the platform's store. Routers learn it from
/// each other; when all of them end at once, the store alone still has it. A router reads it at its
/// start, and one router at a time writes it when it changes. Must be used on the event loop only.
class PartEvidenceArchive
{
public:
    /// What the archive asks of others before it calls the store.
    struct Conditions
    {
        std::function<bool()> isWriter;         ///< This router is the one that writes.
        std::function<bool()> isStoreAnswering; ///< Other calls of this router are answered.
    };

    PartEvidenceArchive(boost::asio::io_context &loop, AsyncStore &store, PartBreakers &breakers,
                        Conditions conditions);

    /// Reads the stored evidence, then writes changes until the event loop ends.
    boost::asio::awaitable<void> run();

private:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;

    /// Merges the stored evidence. Returns whether the store answered.
    Awaitable<bool> restore();
    Awaitable<void> restoreUntilAnswered();
    Awaitable<void> awaitAnsweringStore();
    /// Reads what the writer before this one stored, or else writes what has changed since.
    Awaitable<void> maintain();
    Awaitable<void> save();
    bool isChanged() const;
    void merge(const StoredObject &object);

    boost::asio::io_context &m_loop;
    AsyncStore &m_store;
    PartBreakers &m_breakers;
    Conditions m_conditions;
    bool m_wasWriter = false;         ///< At the last check.
    bool m_knowsStored = false;       ///< The object was read or written since this router writes.
    std::uint64_t m_version = 0;      ///< Of the object as last known; zero when there is none.
    std::uint64_t m_storedDigest = 0; ///< Of its evidence.
};

} // namespace almondmill
