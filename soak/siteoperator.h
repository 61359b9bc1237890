#pragma once

#include "faultplan.h"
#include "siteconfiguration.h"
#include "soakhistory.h"

#include "almondmill/kernel/time.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace almondmill::standin::rietwerk {
class MetadataStore;
}

namespace almondmill::soak {

/// Writes configurations and weights' versions to the store, as a site's operator does.
class SiteOperator
{
public:
    SiteOperator(standin::rietwerk::MetadataStore &store, SoakHistory &history, std::uint64_t seed);

    /// Writes the first configuration and the first weights' version.
    void writeInitialState(SteadyTime now);

    void change(ConfigurationStep step, SteadyTime now);
    void publishWeights(SteadyTime now);

    /// Writes the present state again, after the store has lost it.
    void writeAgain(SteadyTime now);

    std::uint64_t weightsVersion() const { return m_weightsVersion; }

    /// Prefixes of all added routes, including removed ones.
    const std::vector<std::string> &extraPrefixes() const { return m_extraPrefixes; }

    /// The first key and all added ones, including removed ones.
    const std::vector<std::string> &keys() const { return m_keys; }

private:
    void apply(ConfigurationStep step);
    void write(SteadyTime now);
    void writeWeights(SteadyTime now);

    standin::rietwerk::MetadataStore &m_store;
    SoakHistory &m_history;
    std::mt19937_64 m_random;
    SiteConfiguration m_configuration;
    std::uint64_t m_weightsVersion = 1;
    std::vector<std::string> m_extraPrefixes;
    std::vector<std::string> m_keys{"key-1"};
};

} // namespace almondmill::soak
