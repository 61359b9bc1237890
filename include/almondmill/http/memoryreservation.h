#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace almondmill {

class HeldMemory;

/// The memory held for one caller's connection or for one answer of an endpoint.
class MemoryReservation
{
public:
    /// What the memory holds.
    enum class Kind {
        UnfinishedRequest, ///< A request that is being received from its caller.
        Request,           ///< A complete request, and an answer that waits for its caller.
        UnfinishedAnswer,  ///< An answer that is being received from its endpoint.
    };

    /// Whose memory it is.
    struct Origin
    {
        std::string name;    ///< Account or address of the caller, or id of the endpoint.
        std::string request; ///< Id of the request; empty while it is unknown.
    };

    /// `evict` is called at most once. It must free the memory soon, may be called while any
    /// reservation is resized, also on another thread, and must not use the ledger.
    MemoryReservation(std::shared_ptr<HeldMemory> memory, Kind kind, Origin origin,
                      std::function<void()> evict);
    ~MemoryReservation();
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /// Records the memory that is held now; ignored after an eviction.
    void resize(std::size_t bytes);

    /// Records what the memory holds from now on. Must not be used for answers being received.
    void hold(Kind kind);
    void hold(Kind kind, Origin origin);

    std::size_t bytes() const { return m_bytes; }
    Kind kind() const { return m_kind; }
    const Origin &origin() const { return m_origin; }
    bool isEvicted() const { return m_isEvicted; }

private:
    friend class HeldMemory;

    std::shared_ptr<HeldMemory> m_memory;
    Kind m_kind;
    Origin m_origin;
    std::function<void()> m_evict;
    std::size_t m_bytes = 0;
    std::atomic<bool> m_isEvicted{false};
};

} // namespace almondmill
