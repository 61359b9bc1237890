#include "almondmill/forward/endpointview.h"

#include "almondmill/forward/partevidence.h"
#include "almondmill/forward/socketaddress.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

/// Time constant of the average load: requests last about half a second, and peers receive the load
/// once per second.
constexpr std::chrono::duration<double> LoadAverageTime{1.0};

std::optional<std::uint64_t> versionIn(const std::vector<ServedModel> &models,
                                       std::string_view name)
{
    for (const ServedModel &model : models) {
        if (model.name == name)
            return model.weightsVersion;
    }
    return std::nullopt;
}

} // namespace

EndpointView::EndpointView(Registration registration,
                           std::shared_ptr<EndpointAvailability> availability)
    : m_registration(std::move(registration))
    , m_incarnation(incarnationHash(m_registration))
    , m_software(softwareHash(m_registration))
    , m_address(parseSocketAddress(m_registration.address))
    , m_availability(std::move(availability))
{}

bool EndpointView::isSameIncarnation(const Registration &registration) const
{
    return m_registration.startedAt == registration.startedAt
           && m_registration.address == registration.address
           && m_registration.service == registration.service;
}

void EndpointView::update(Registration registration)
{
    const auto before = std::move(m_registration.models);
    m_registration = std::move(registration);
    // A version that an answer showed is newer than a registration that repeats the previous one.
    m_observedVersions.erase(std::remove_if(m_observedVersions.begin(), m_observedVersions.end(),
                                            [&](const ServedModel &shown) {
                                                return versionIn(before, shown.name)
                                                       != versionIn(m_registration.models,
                                                                    shown.name);
                                            }),
                             m_observedVersions.end());
}

void EndpointView::retire()
{
    m_retired = true;
    m_connections.closeAll();
}

void EndpointView::requestOpened(std::uint64_t tokens)
{
    ++m_openRequests;
    m_heldTokens += tokens;
}

void EndpointView::requestClosed(std::uint64_t tokens)
{
    --m_openRequests;
    m_heldTokens -= tokens;
}

EndpointLoad EndpointView::load() const
{
    return {static_cast<double>(m_openRequests), static_cast<double>(m_pendingPrefillTokens),
            static_cast<double>(m_heldTokens)};
}

EndpointLoad EndpointView::averageLoad(SteadyTime now)
{
    const std::chrono::duration<double> elapsed = now - m_averagedAt;
    const double weight = 1 - std::exp(-elapsed / LoadAverageTime);
    const EndpointLoad current = load();
    m_average.openRequests += weight * (current.openRequests - m_average.openRequests);
    m_average.pendingPrefillTokens +=
            weight * (current.pendingPrefillTokens - m_average.pendingPrefillTokens);
    m_average.heldTokens += weight * (current.heldTokens - m_average.heldTokens);
    m_averagedAt = now;
    return m_average;
}

std::optional<std::uint64_t> EndpointView::weightsVersion(std::string_view model) const
{
    const auto shown = versionIn(m_observedVersions, model);
    return shown ? shown : versionIn(m_registration.models, model);
}

void EndpointView::setWeightsVersion(std::string_view model, std::uint64_t version)
{
    for (ServedModel &shown : m_observedVersions) {
        if (shown.name == model) {
            shown.weightsVersion = version;
            return;
        }
    }
    m_observedVersions.push_back({std::string(model), version});
}

} // namespace almondmill
