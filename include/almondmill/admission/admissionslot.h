#pragma once

#include <utility>

namespace almondmill {

class AdmissionGate;

/// The right to send one request that the gate let through and that no endpoint counts yet. Given
/// back when it goes, at the latest once the request is counted at its endpoint.
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
