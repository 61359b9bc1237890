#include "messages.h"

namespace almondmill {

namespace {

void fill(fleet::MemberRumour &message, const MemberRumour &rumour)
{
    message.set_address(rumour.address);
    message.set_data_centre(rumour.dataCentre);
    message.set_incarnation(rumour.incarnation);
    message.set_revision(rumour.revision);
    message.set_config_version(rumour.configVersion);
    message.set_leaving(rumour.leaving);
    message.set_state(static_cast<fleet::MemberRumour::State>(rumour.state));
}

void fill(fleet::EndpointRumour &message, const EndpointRumour &rumour)
{
    message.set_name_hash(rumour.nameHash);
    message.set_incarnation(rumour.incarnation);
    message.set_weights_hash(rumour.weightsHash);
    message.set_revision(rumour.revision);
    message.set_load(rumour.load);
    message.set_vm_leaving(rumour.vmLeaving);
    message.set_state(static_cast<fleet::EndpointRumour::State>(rumour.condition));
}

/// An unknown state, which a newer release may have added, counts as alive: the only consequence is
/// that the member is probed.
MemberState toState(fleet::MemberRumour::State state)
{
    switch (state) {
    case fleet::MemberRumour::SUSPECT:
        return MemberState::Suspect;
    case fleet::MemberRumour::DEAD:
        return MemberState::Dead;
    default:
        return MemberState::Alive;
    }
}

EndpointCondition toCondition(fleet::EndpointRumour::State state)
{
    switch (state) {
    case fleet::EndpointRumour::LEAVING:
        return EndpointCondition::Leaving;
    case fleet::EndpointRumour::UNREACHABLE:
        return EndpointCondition::Unreachable;
    default:
        return EndpointCondition::Serving;
    }
}

MemberRumour fromMessage(const fleet::MemberRumour &message)
{
    MemberRumour rumour;
    rumour.address = message.address();
    rumour.dataCentre = message.data_centre();
    rumour.incarnation = message.incarnation();
    rumour.revision = message.revision();
    rumour.configVersion = message.config_version();
    rumour.state = toState(message.state());
    rumour.leaving = message.leaving();
    return rumour;
}

EndpointRumour fromMessage(const fleet::EndpointRumour &message)
{
    EndpointRumour rumour;
    rumour.nameHash = message.name_hash();
    rumour.incarnation = message.incarnation();
    rumour.weightsHash = message.weights_hash();
    rumour.revision = message.revision();
    rumour.load = message.load();
    rumour.vmLeaving = message.vm_leaving();
    rumour.condition = toCondition(message.state());
    return rumour;
}

} // namespace

fleet::Heartbeat toMessage(const Heartbeat &heartbeat)
{
    fleet::Heartbeat message;
    message.set_sender(heartbeat.sender);
    message.set_data_centre(heartbeat.dataCentre);
    message.set_incarnation(heartbeat.incarnation);
    message.set_revision(heartbeat.revision);
    message.set_config_version(heartbeat.configVersion);
    message.set_view_hash(heartbeat.viewHash);
    message.set_in_flight(heartbeat.inFlight);
    message.set_draining(heartbeat.draining);
    message.set_whole_view(heartbeat.wholeView);
    for (const MemberRumour &rumour : heartbeat.members)
        fill(*message.add_rumours(), rumour);
    for (const EndpointRumour &rumour : heartbeat.endpoints)
        fill(*message.add_endpoints(), rumour);
    return message;
}

fleet::ConfigAnswer toMessage(const ConfigurationOffer &offer)
{
    fleet::ConfigAnswer message;
    message.set_version(offer.version);
    message.set_store_version(offer.storeVersion);
    message.set_root(offer.root);
    for (const ConfigurationPart &part : offer.parts) {
        auto *added = message.add_parts();
        added->set_hash(part.hash);
        added->set_content(part.content);
    }
    return message;
}

fleet::PlaceRequest toMessage(const PlacementQuery &query)
{
    fleet::PlaceRequest message;
    message.mutable_prefix_keys()->Add(query.prefixKeys.begin(), query.prefixKeys.end());
    message.set_model(query.model);
    message.set_priority(query.priority == Priority::High ? 0 : 1);
    for (const std::string &endpoint : query.excluded)
        message.add_excluded(endpoint);
    return message;
}

fleet::PlaceAnswer toMessage(const PlacementAdvice &advice)
{
    fleet::PlaceAnswer message;
    message.set_endpoint(advice.endpoint);
    message.set_endpoint_incarnation(advice.incarnation);
    message.set_expected_cached_blocks(advice.expectedCachedBlocks);
    message.set_valid_ms(static_cast<std::uint32_t>(advice.validFor.count()));
    return message;
}

Heartbeat fromMessage(const fleet::Heartbeat &message)
{
    Heartbeat heartbeat;
    heartbeat.sender = message.sender();
    heartbeat.dataCentre = message.data_centre();
    heartbeat.incarnation = message.incarnation();
    heartbeat.revision = message.revision();
    heartbeat.configVersion = message.config_version();
    heartbeat.viewHash = message.view_hash();
    heartbeat.inFlight = message.in_flight();
    heartbeat.draining = message.draining();
    heartbeat.wholeView = message.whole_view();
    for (const auto &rumour : message.rumours())
        heartbeat.members.push_back(fromMessage(rumour));
    for (const auto &rumour : message.endpoints())
        heartbeat.endpoints.push_back(fromMessage(rumour));
    return heartbeat;
}

ConfigurationOffer fromMessage(const fleet::ConfigAnswer &message)
{
    ConfigurationOffer offer;
    offer.version = message.version();
    offer.storeVersion = message.store_version();
    offer.root = message.root();
    for (const auto &part : message.parts())
        offer.parts.push_back({part.hash(), part.content()});
    return offer;
}

PlacementQuery fromMessage(const fleet::PlaceRequest &message)
{
    PlacementQuery query;
    query.prefixKeys.assign(message.prefix_keys().begin(), message.prefix_keys().end());
    query.model = message.model();
    query.priority = message.priority() == 0 ? Priority::High : Priority::Low;
    query.excluded.assign(message.excluded().begin(), message.excluded().end());
    return query;
}

PlacementAdvice fromMessage(const fleet::PlaceAnswer &message)
{
    PlacementAdvice advice;
    advice.endpoint = message.endpoint();
    advice.incarnation = message.endpoint_incarnation();
    advice.expectedCachedBlocks = message.expected_cached_blocks();
    advice.validFor = std::chrono::milliseconds(message.valid_ms());
    return advice;
}

} // namespace almondmill
