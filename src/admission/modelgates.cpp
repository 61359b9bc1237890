#include "almondmill/admission/modelgates.h"

namespace almondmill {

ModelGates::ModelGates(std::size_t queueCapacity, AdmissionGate::Clock clock)
    : m_queueCapacity(queueCapacity)
    , m_clock(std::move(clock))
{}

std::size_t ModelGates::waiting() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::size_t total = 0;
    for (const auto &[model, gate] : m_gates)
        total += gate->waiting();
    return total;
}

AdmissionGate &ModelGates::gate(const std::string &model)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto &gate = m_gates[model];
    if (!gate)
        gate = std::make_unique<AdmissionGate>(m_queueCapacity, m_clock);
    return *gate;
}

} // namespace almondmill
