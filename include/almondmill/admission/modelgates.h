#pragma once

#include "almondmill/admission/admissiongate.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace almondmill {

/// One gate a model, made at first use. Safe from several threads.
class ModelGates
{
public:
    ModelGates(std::size_t queueCapacity, AdmissionGate::Clock clock);

    /// Requests that wait now, over all models.
    std::size_t waiting() const;

    /// The gate of a model; valid as long as this object.
    AdmissionGate &gate(const std::string &model);

private:
    std::size_t m_queueCapacity;
    AdmissionGate::Clock m_clock;
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<AdmissionGate>> m_gates;
};

} // namespace almondmill
