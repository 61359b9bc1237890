#include "almondmill/directory/registrationdelta.h"

#include "almondmill/kernel/hash.h"

#include <absl/strings/str_cat.h>

#include <string>

namespace almondmill {

std::uint32_t unchangingHash(const Registration &entry)
{
    std::string fields =
            absl::StrCat(entry.id, "\n", entry.startedAt.count(), "\n", entry.service, "\n",
                         entry.address, "\n", entry.dataCentre, "\n", entry.slots);
    for (const ServedModel &model : entry.models)
        absl::StrAppend(&fields, "\n", model.name);
    return shortHash(fields);
}

RegistrationDelta deltaOf(const Registration &entry)
{
    RegistrationDelta delta{
            shortHash(entry.id), unchangingHash(entry), entry.draining, {}, entry.revision};
    for (const ServedModel &model : entry.models)
        delta.versions.push_back(model.weightsVersion);
    return delta;
}

bool isRenewal(const RegistrationDelta &before, const RegistrationDelta &after)
{
    return before.endpoint == after.endpoint && before.rest == after.rest
           && before.draining == after.draining && before.versions == after.versions;
}

std::optional<Registration> applyDelta(const RegistrationDelta &delta, const Registration &known)
{
    const bool isSame = shortHash(known.id) == delta.endpoint && unchangingHash(known) == delta.rest
                        && known.models.size() == delta.versions.size();
    if (!isSame)
        return std::nullopt;
    Registration entry = known;
    entry.draining = delta.draining;
    entry.revision = delta.revision;
    entry.orderCount = 0; // As in a full entry between routers, which does not carry it.
    for (std::size_t model = 0; model < entry.models.size(); ++model)
        entry.models[model].weightsVersion = delta.versions[model];
    return entry;
}

} // namespace almondmill
