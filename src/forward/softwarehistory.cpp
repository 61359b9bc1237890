#include "almondmill/forward/softwarehistory.h"

#include "almondmill/directory/registration.h"
#include "almondmill/kernel/hash.h"

namespace almondmill {

void SoftwareHistory::added(const Registration &entry, SteadyTime now)
{
    Service &service =
            m_services.try_emplace(shortHash(entry.service), Service{now, {}}).first->second;
    ++service.versions[softwareHash(entry)].endpoints;
}

void SoftwareHistory::removed(const Registration &entry, SteadyTime now)
{
    const auto service = m_services.find(shortHash(entry.service));
    if (service == m_services.end())
        return;
    auto &versions = service->second.versions;
    const auto version = versions.find(softwareHash(entry));
    if (version == versions.end() || version->second.endpoints == 0)
        return;
    --version->second.endpoints;
    version->second.lastSeen = now;
    absl::erase_if(versions, [&](const auto &known) { return !isRecent(known.second, now); });
}

RecentSoftware SoftwareHistory::recent(std::uint32_t service, SteadyTime now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return UnknownSoftware{};
    RecentSoftware recent = UnknownSoftware{};
    for (const auto &[software, version] : found->second.versions) {
        if (isRecent(version, now))
            recent = merge(recent, SoleSoftware{software});
    }
    const bool isKnownLongEnough = now - found->second.knownSince >= Retention;
    if (!isKnownLongEnough && soleSoftware(recent))
        return UnknownSoftware{};
    return recent;
}

bool SoftwareHistory::isRecent(const Version &version, SteadyTime now)
{
    return version.endpoints != 0 || now - version.lastSeen < Retention;
}

} // namespace almondmill
