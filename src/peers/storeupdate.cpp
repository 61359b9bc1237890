#include "almondmill/peers/storeupdate.h"

#include "decodemessage.h"
#include "layoutversions.h"
#include "peerfields.h"

#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

using nlohmann::json;

json encodeModels(const std::vector<ServedModel> &models)
{
    json array = json::array();
    for (const ServedModel &model : models)
        array.push_back({model.name, model.weightsVersion});
    return array;
}

json encodeRegistration(const Registration &entry)
{
    return json::array({entry.id, entry.startedAt.count(), entry.service, entry.address,
                        entry.dataCentre, entry.slots, entry.draining, encodeModels(entry.models),
                        entry.revision, entry.softwareVersion});
}

Registration decodeRegistration(const json &fields)
{
    Registration entry;
    entry.id = fields.at(0).get<std::string>();
    entry.startedAt = std::chrono::milliseconds(fields.at(1).get<std::int64_t>());
    entry.service = fields.at(2).get<std::string>();
    entry.address = fields.at(3).get<std::string>();
    entry.dataCentre = fields.at(4).get<std::string>();
    entry.slots = fields.at(5).get<std::uint32_t>();
    entry.draining = fields.at(6).get<bool>();
    for (const json &model : fields.at(7))
        entry.models.push_back({model.at(0).get<std::string>(), model.at(1).get<std::uint64_t>()});
    entry.revision = fields.at(8).get<std::uint64_t>();
    if (fields.size() > 9) // Earlier releases don't send it.
        entry.softwareVersion = fields.at(9).get<std::string>();
    return entry;
}

/// Revisions are sent as differences from the first one of the update, which takes fewer bytes.
json encodeDelta(const RegistrationDelta &delta, std::uint64_t from)
{
    return json::array({delta.endpoint, delta.rest, delta.draining, delta.versions,
                        static_cast<std::int64_t>(delta.revision - from)});
}

RegistrationDelta decodeDelta(const json &fields, std::uint64_t from)
{
    RegistrationDelta delta;
    delta.endpoint = fields.at(0).get<std::uint32_t>();
    delta.rest = fields.at(1).get<std::uint32_t>();
    delta.draining = fields.at(2).get<bool>();
    delta.versions = fields.at(3).get<std::vector<std::uint64_t>>();
    delta.revision = from + static_cast<std::uint64_t>(fields.at(4).get<std::int64_t>());
    return delta;
}

json encodeRegistrations(const std::optional<StoreUpdate::Registrations> &registrations)
{
    if (!registrations)
        return nullptr;
    json changed = json::array();
    for (const Registration &entry : registrations->changed)
        changed.push_back(encodeRegistration(entry));
    json deltas = json::array();
    for (const RegistrationDelta &delta : registrations->deltas)
        deltas.push_back(encodeDelta(delta, registrations->from));
    return json::array({registrations->from, registrations->to, std::move(changed),
                        registrations->gone, registrations->retention.count(),
                        registrations->answeringFor.count(), std::move(deltas)});
}

std::optional<StoreUpdate::Registrations> decodeRegistrations(const json &fields)
{
    if (fields.is_null())
        return std::nullopt;
    StoreUpdate::Registrations registrations;
    registrations.from = fields.at(0).get<std::uint64_t>();
    registrations.to = fields.at(1).get<std::uint64_t>();
    for (const json &entry : fields.at(2))
        registrations.changed.push_back(decodeRegistration(entry));
    registrations.gone = fields.at(3).get<std::vector<std::string>>();
    registrations.retention = std::chrono::milliseconds(fields.at(4).get<std::int64_t>());
    registrations.answeringFor = std::chrono::milliseconds(fields.at(5).get<std::int64_t>());
    for (const json &delta : fields.at(6))
        registrations.deltas.push_back(decodeDelta(delta, registrations.from));
    return registrations;
}

} // namespace

std::string encodeStoreUpdate(const StoreUpdate &update)
{
    const json fields =
            json::array({layout::StoreUpdate, update.origin, update.incarnation, update.sequence,
                         update.configuration, encodeWeights(update.weights),
                         encodeLoading(update.loading), encodeRegistrations(update.registrations)});
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

std::optional<StoreUpdate> decodeStoreUpdate(std::string_view bytes)
{
    return decodeMessage(bytes, layout::StoreUpdate, [](const json &fields) {
        StoreUpdate update;
        update.origin = fields.at(1).get<std::string>();
        update.incarnation = fields.at(2).get<std::uint64_t>();
        update.sequence = fields.at(3).get<std::uint64_t>();
        update.configuration = fields.at(4).get<std::uint64_t>();
        update.weights = decodeWeights(fields.at(5));
        update.loading = decodeLoading(fields.at(6));
        update.registrations = decodeRegistrations(fields.at(7));
        return update;
    });
}

} // namespace almondmill
