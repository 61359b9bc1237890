#include "support/fakefleet.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace almondmill::test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Nodes = 9;
/// After this time every suspicion that began during the events has been refuted or has expired.
constexpr std::chrono::milliseconds SuspicionSettleTime{10000};

/// A pause, resumption or restart of a node, or a fault of the network.
struct Event
{
    int kind = 0;
    std::size_t node = 0;
    std::size_t other = 0;
    int seconds = 0;
};

void showValue(const Event &event, std::ostream &out)
{
    out << "kind " << event.kind << " node " << event.node << " other " << event.other << " for "
        << event.seconds << " s";
}

rc::Gen<Event> anyEvent()
{
    return rc::gen::build<Event>(
            rc::gen::set(&Event::kind, rc::gen::inRange(0, 5)),
            rc::gen::set(&Event::node, rc::gen::inRange<std::size_t>(0, Nodes)),
            rc::gen::set(&Event::other, rc::gen::inRange<std::size_t>(0, Nodes)),
            rc::gen::set(&Event::seconds, rc::gen::inRange(0, 40)));
}

void applyEvent(FakeFleet &fleet, const Event &event)
{
    switch (event.kind) {
    case 0:
        fleet.pause(event.node);
        break;
    case 1:
        fleet.resume(event.node);
        break;
    case 2:
        fleet.restart(event.node);
        break;
    case 3:
        fleet.setLink([event](std::size_t from, std::size_t to) {
            return from != event.node || to != event.other;
        });
        break;
    default:
        fleet.setLink([event](std::size_t from, std::size_t to) {
            return (from < event.node) == (to < event.node);
        });
    }
    fleet.run(std::chrono::seconds(event.seconds));
}

} // namespace

RC_GTEST_PROP(MembershipProperty, ViewsConvergeOnceThePartitionHeals, ())
{
    const auto events = *rc::gen::container<std::vector<Event>>(anyEvent());
    FakeFleet fleet(Nodes, *rc::gen::inRange<std::uint64_t>(1, 1000));
    fleet.run(10s);
    for (const Event &event : events)
        applyEvent(fleet, event);
    fleet.setLink([](std::size_t, std::size_t) { return true; });
    fleet.resume(0);
    fleet.run(SuspicionSettleTime);
    RC_ASSERT(fleet.runUntilConverged(60s).has_value());

    // Without further events no live member is removed and the views stay converged.
    const std::size_t deaths = fleet.falseDeaths();
    fleet.run(60s);
    RC_ASSERT(fleet.falseDeaths() == deaths);
    RC_ASSERT(fleet.converged());
}

} // namespace almondmill::test
