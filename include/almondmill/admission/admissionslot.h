#pragma once

#include <utility>

namespace almondmill {

class AdmissionGate;

/// Permission to send one request that the gate admitted and that is not counted at an endpoint
/// yet. To be released once the request is counted at its endpoint; the destructor releases it too.
class AdmissionSlot
{
public:
    explicit AdmissionSlot(AdmissionGate &gate)
        : m_gate(&gate)
    {}
    AdmissionSlot(AdmissionSlot &&other) noexcept
        : m_gate(std::exchange(other.m_gate, nullptr))
    {}
    AdmissionSlot &operator=(AdmissionSlot &&) = delete;
    AdmissionSlot(const AdmissionSlot &) = delete;
    AdmissionSlot &operator=(const AdmissionSlot &) = delete;
    ~AdmissionSlot() { release(); }

    void release();

private:
    AdmissionGate *m_gate;
};

} // namespace almondmill
