#include "support/configurationfleet.h"
#include "support/configurations.h"

#include "almondmill/config/configurationstore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace almondmill::test {

namespace {

constexpr std::size_t Routers = 5;
constexpr std::chrono::milliseconds Timeout{1000};
constexpr std::chrono::seconds SettlingTime{30};

/// Reference model of the versions that may be in force: every valid version that the store
/// accepted, with its number of endpoints, which identifies its content.
class Model
{
public:
    void recordAccepted(std::uint64_t version, std::size_t endpoints)
    {
        m_endpoints[version] = endpoints;
    }

    std::uint64_t newest() const { return m_endpoints.empty() ? 0 : m_endpoints.rbegin()->first; }

    /// Checks that `version` with `endpoints` endpoints may be in force at the router now.
    void check(std::size_t router, std::uint64_t version, std::size_t endpoints)
    {
        RC_ASSERT(version >= m_inForce[router]);
        m_inForce[router] = version;
        if (version != 0)
            RC_ASSERT(m_endpoints.at(version) == endpoints);
    }

    void recordRestart(std::size_t router) { m_inForce[router] = 0; }

private:
    std::map<std::uint64_t, std::size_t> m_endpoints;
    std::map<std::size_t, std::uint64_t> m_inForce;
};

/// A fleet that is subjected to a random sequence of events.
class Run
{
public:
    Run()
        : m_fleet(Routers)
    {}

    void applyRandomEvent()
    {
        const auto router = *rc::gen::inRange<std::size_t>(0, Routers);
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            submit(true);
            break;
        case 1:
            submit(false);
            break;
        case 2:
            staleStore();
            break;
        case 3:
            m_fleet.store().setStaleRoot(std::nullopt);
            break;
        case 4:
            m_fleet.store().setOutage(*rc::gen::arbitrary<bool>());
            break;
        case 5:
            m_fleet.setFrozen(router, *rc::gen::arbitrary<bool>());
            break;
        case 6:
            m_fleet.restart(router);
            m_model.recordRestart(router);
            break;
        case 7:
            stalePush(router);
            break;
        case 8:
            m_fleet.sync(router).recordPeerVersion("10.0.0.1:7070",
                                                   *rc::gen::inRange<std::uint64_t>(0, 50));
            break;
        case 9:
            m_fleet.refreshView();
            break;
        case 10:
            m_fleet.storeStep(router);
            break;
        default:
            m_fleet.peerStep(router);
        }
        check();
    }

    /// Ends all faults and checks that every router converges to the newest valid version.
    void settle()
    {
        m_fleet.store().setStaleRoot(std::nullopt);
        m_fleet.store().setOutage(false);
        for (std::size_t i = 0; i < Routers; ++i)
            m_fleet.setFrozen(i, false);
        submit(true);
        m_fleet.run(SettlingTime);
        check();
        RC_ASSERT(m_fleet.allHave(m_model.newest()));
    }

private:
    void submit(bool valid)
    {
        ConfigurationStore store(m_fleet.store().inner(), Timeout);
        const std::size_t endpoints = *rc::gen::inRange<std::size_t>(1, 40);
        Rules rules = makeRules(2);
        if (!valid)
            rules.placementPolicy = "by-hand";
        const auto result = store.submit(makeInventory(endpoints), rules, m_stored);
        RC_ASSERT(std::holds_alternative<Applied>(result));
        ++m_stored;
        if (valid)
            m_model.recordAccepted(m_stored, endpoints);
        const auto root = m_fleet.store().inner().read(RootName, Timeout);
        m_roots.push_back(std::get<StoredObject>(root));
    }

    void staleStore()
    {
        if (!m_roots.empty())
            m_fleet.store().setStaleRoot(*rc::gen::elementOf(m_roots));
    }

    /// Delivers a delayed push that contains an outdated version.
    void stalePush(std::size_t router)
    {
        if (m_roots.empty())
            return;
        const StoredObject root = *rc::gen::elementOf(m_roots);
        ConfigurationOffer offer{decodeRoot(root.value).version, root.version, root.value, {}};
        for (const std::string &name : decodeRoot(root.value).parts) {
            const auto part = m_fleet.store().inner().read(PartPrefix + name, Timeout);
            if (const auto *object = std::get_if<StoredObject>(&part))
                offer.parts.push_back({name, object->value});
        }
        m_fleet.sync(router).acceptPush(offer, m_fleet.now());
    }

    void check()
    {
        for (std::size_t i = 0; i < Routers; ++i)
            m_model.check(i, m_fleet.version(i), m_fleet.endpointCount(i));
    }

    ConfigurationFleet m_fleet;
    Model m_model;
    std::uint64_t m_stored = 0;
    std::vector<StoredObject> m_roots;
};

} // namespace

RC_GTEST_PROP(ConfigurationSyncProperty, VersionsOnlyIncreaseAndConvergeInAnyOrderOfEvents, ())
{
    Run run;
    const auto events = *rc::gen::inRange(10, 120);
    for (int i = 0; i < events; ++i)
        run.applyRandomEvent();
    run.settle();
}

} // namespace almondmill::test
