#include "siteoperator.h"

#include "standins/rietwerk/metadatastore.h"

#include <nlohmann/json.hpp>

namespace almondmill::soak {

namespace {

/// Configuration versions increase by a random step of at most this.
constexpr std::uint64_t LargestStep = 5;

} // namespace

SiteOperator::SiteOperator(standin::rietwerk::MetadataStore &store, SoakHistory &history,
                           std::uint64_t seed)
    : m_store(store)
    , m_history(history)
    , m_random(seed)
{}

void SiteOperator::writeInitialState(SteadyTime now)
{
    write(now);
    writeWeights(now);
}

void SiteOperator::change(ConfigurationStep step, SteadyTime now)
{
    apply(step);
    m_configuration.version +=
            std::uniform_int_distribution<std::uint64_t>(1, LargestStep)(m_random);
    write(now);
}

void SiteOperator::publishWeights(SteadyTime now)
{
    ++m_weightsVersion;
    writeWeights(now);
}

void SiteOperator::writeAgain(SteadyTime now)
{
    m_store.put("config", "main", nlohmann::json::parse(m_configuration.encode()), now);
    m_store.put("versions", ModelName, {{"model", ModelName}, {"version", m_weightsVersion}}, now);
}

void SiteOperator::apply(ConfigurationStep step)
{
    switch (step) {
    case ConfigurationStep::AddRoute:
        m_extraPrefixes.push_back("/extra-" + std::to_string(m_extraPrefixes.size() + 1) + "/");
        m_configuration.extraPrefixes.insert(m_extraPrefixes.back());
        break;
    case ConfigurationStep::RemoveRoute:
        if (!m_configuration.extraPrefixes.empty())
            m_configuration.extraPrefixes.erase(m_configuration.extraPrefixes.begin());
        break;
    case ConfigurationStep::MoveService:
        m_configuration.plainService = m_configuration.plainService == "desk" ? "annex" : "desk";
        break;
    case ConfigurationStep::AddKey:
        m_keys.push_back("key-" + std::to_string(m_keys.size() + 1));
        m_configuration.keys.insert(m_keys.back());
        break;
    case ConfigurationStep::RemoveKey:
        if (m_configuration.keys.size() > 1)
            m_configuration.keys.erase(std::prev(m_configuration.keys.end()));
        break;
    }
}

void SiteOperator::write(SteadyTime now)
{
    m_store.put("config", "main", nlohmann::json::parse(m_configuration.encode()), now);
    m_history.configurations.push_back({m_configuration, now});
}

void SiteOperator::writeWeights(SteadyTime now)
{
    m_store.put("versions", ModelName, {{"model", ModelName}, {"version", m_weightsVersion}}, now);
    m_history.weights.push_back({m_weightsVersion, now});
}

} // namespace almondmill::soak
