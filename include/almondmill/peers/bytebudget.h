#pragma once

#include "almondmill/kernel/time.h"

#include <cstddef>

namespace almondmill {

/// Bytes that may be sent, refilled at a constant rate up to `burst`.
class ByteBudget
{
public:
    ByteBudget(double bytesPerSecond, double burst)
        : m_bytesPerSecond(bytesPerSecond)
        , m_burst(burst)
        , m_left(burst)
    {}

    /// Takes the bytes of a message that passes this router, also beyond what is left.
    void spend(std::size_t bytes, SteadyTime now);

    /// Whether there is anything left.
    bool isAvailable(SteadyTime now);

private:
    void refill(SteadyTime now);

    double m_bytesPerSecond;
    double m_burst;
    double m_left;
    SteadyTime m_refilledAt;
};

} // namespace almondmill
