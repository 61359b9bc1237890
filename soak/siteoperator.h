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

/// Writes configurations and weights to the store, as the operator does.
class SiteOperator
{
public:
    SiteOperator(standin::rietwerk::MetadataStore &store, SoakHistory &history, std::uint64_t seed);

    /// Writes the first configuration and the first weights.
    void begin(SteadyTime now);

    void change(ConfigurationStep step, SteadyTime now);
    void nameWeights(SteadyTime now);

    std::uint64_t weightsVersion() const { return m_weights; }

    /// Prefixes of routes that came and went.
    const std::vector<std::string> &extraPrefixes() const { return m_extraPrefixes; }

    /// Keys that came and went, with those that stayed.
    const std::vector<std::string> &keys() const { return m_keys; }

private:
    void apply(ConfigurationStep step);
    void write(SteadyTime now);
    void writeWeights(SteadyTime now);

    standin::rietwerk::MetadataStore &m_store;
    SoakHistory &m_history;
    std::mt19937_64 m_random;
    SiteConfiguration m_configuration;
    std::uint64_t m_weights = 1;
    std::vector<std::string> m_extraPrefixes;
    std::vector<std::string> m_keys{"key-1"};
};

} // namespace almondmill::soak
