#pragma once

#include "almondmill/admission/admissiongate.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace almondmill {

/// One admission gate per model, created on first use. Thread-safe.
class ModelGates
{
public:
    ModelGates(std::size_t queueCapacity, AdmissionGate::Clock clock);

    /// Number of requests that are waiting, over all models.
    std::size_t waiting() const;

    /// The gate of a model; valid for the lifetime of this object.
    AdmissionGate &gate(const std::string &model);

private:
    std::size_t m_queueCapacity;
    AdmissionGate::Clock m_clock;
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<AdmissionGate>> m_gates;
};

} // namespace almondmill
