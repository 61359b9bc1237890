#pragma once

#include "almondmill/endpoint/endpointset.h"
#include "almondmill/kernel/rcucell.h"

#include <cstdint>
#include <memory>
#include <mutex>

namespace almondmill {

/// The configuration in force at this router and the endpoints' states, for all threads.
class EndpointTable
{
public:
    EndpointTable();

    /// The set in force: one counted reference, no lock.
    std::shared_ptr<const EndpointSet> snapshot() const { return m_set.snapshot(); }

    /// Version in force; zero before the first.
    std::uint64_t version() const;

    /// Puts a configuration in force. Returns false, and changes nothing, unless its version is
    /// higher than the one in force: the version never goes back.
    bool apply(std::shared_ptr<const Configuration> configuration);

private:
    std::mutex m_writers;
    RcuCell<EndpointSet> m_set;
};

} // namespace almondmill
