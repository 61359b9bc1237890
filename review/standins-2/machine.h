#pragma once

#include "record.h"
#include "router.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace review {

/// A machine of the platform: runs one router, kills it when it takes more memory than the machine
/// has, and starts it again after a short delay.
class Machine
{
public:
    /// `memory_mb` of the sheet of rietwerk-lvn.
    static constexpr long MemoryMb = 96;

    /// What counts as the memory of the process.
    enum class Counts {
        Own,          ///< Its own pages, without those of its program and libraries.
        OwnAndUnread, ///< Bytes that were received for it and not read yet too.
    };

    Machine(RouterPlace place, std::string folder, Counts counts, Record &record);
    ~Machine();
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;

    bool isReady();

    /// How often the process was killed for its memory.
    int ends() const { return m_ends; }

    /// The most memory that was seen, in kB.
    long mostKilobytes() const { return m_most; }
    const RouterPlace &place() const { return m_place; }

private:
    void watch();
    long kilobytes() const;

    RouterPlace m_place;
    std::string m_folder;
    Counts m_counts;
    Record &m_record;
    std::mutex m_mutex;
    std::unique_ptr<Router> m_router;
    std::atomic<int> m_ends{0};
    std::atomic<long> m_most{0};
    std::atomic<bool> m_stopped{false};
    std::thread m_watch;
};

} // namespace review
