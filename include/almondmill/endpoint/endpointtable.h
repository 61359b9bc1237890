#pragma once

#include "almondmill/endpoint/endpointset.h"
#include "almondmill/kernel/rcucell.h"

#include <cstdint>
#include <memory>
#include <mutex>

namespace almondmill {

/// The configuration in force at this router and the states of its endpoints. Thread-safe.
class EndpointTable
{
public:
    EndpointTable();

    /// Returns the set in force. Cost: one reference count, no lock.
    std::shared_ptr<const EndpointSet> snapshot() const { return m_set.snapshot(); }

    /// Version in force; zero before the first configuration.
    std::uint64_t version() const;

    /// Puts a configuration in force. Returns false, and changes nothing, unless its version is
    /// higher than the one in force, so that the version never decreases.
    bool apply(std::shared_ptr<const Configuration> configuration);

private:
    std::mutex m_writeMutex;
    RcuCell<EndpointSet> m_set;
};

} // namespace almondmill
