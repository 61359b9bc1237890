#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace almondmill::standin {

/// Version of the weights that an engine stand-in serves, and the orders that change it.
/// Thread-safe.
class WeightsLoader
{
public:
    /// If `checksFencing` is false, orders with an outdated fencing token are carried out as well.
    WeightsLoader(std::string weights, std::chrono::milliseconds loadTime, bool checksFencing);

    /// Version served at `now`; the previous one while another version is loading.
    std::string weights(SteadyTime now);

    bool loading(SteadyTime now);

    /// Highest fencing token received.
    std::uint64_t fencing();

    /// Starts to load `weights`. Returns false if the engine checks fencing tokens and this one is
    /// outdated.
    bool order(const std::string &weights, std::uint64_t fencing, SteadyTime now);

private:
    /// Switches to the loaded version once its loading time has passed.
    void finishLoading(SteadyTime now);

    std::mutex m_mutex;
    std::string m_weights;
    std::string m_loadingWeights;
    SteadyTime m_readyAt;
    std::chrono::milliseconds m_loadTime;
    bool m_checksFencing;
    std::uint64_t m_fencing = 0;
};

} // namespace almondmill::standin
