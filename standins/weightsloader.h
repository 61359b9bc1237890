#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace almondmill::standin {

/// Which weights an engine stand-in serves, and the orders that change them.
class WeightsLoader
{
public:
    /// With `checksFencing` false, orders with an old fencing number are carried out like any
    /// other.
    WeightsLoader(std::string weights, std::chrono::milliseconds loadTime, bool checksFencing);

    /// Version served at `now`; the old one while another is loading.
    std::string weights(SteadyTime now);

    bool loading(SteadyTime now);

    /// Highest fencing number seen.
    std::uint64_t fencing();

    /// Takes an order; false when its fencing number is old and this engine checks.
    bool order(const std::string &weights, std::uint64_t fencing, SteadyTime now);

private:
    void settle(SteadyTime now);

    std::mutex m_mutex;
    std::string m_weights;
    std::string m_next;
    SteadyTime m_readyAt;
    std::chrono::milliseconds m_loadTime;
    bool m_checksFencing;
    std::uint64_t m_fencing = 0;
};

} // namespace almondmill::standin
