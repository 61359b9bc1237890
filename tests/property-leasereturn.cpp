// Guards against two holders at a time, and against fencing tokens that are given out again, when
// the store returns from older copies amid kills, outages and lost answers.

#include "support/unreliablestore.h"

#include "almondmill/orders/lease.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Duration{2000};
constexpr milliseconds OrderTimeout{500};
constexpr std::array<const char *, 4> Names{"a", "b", "c", "d"};

/// What happens before a router maintains the lease.
enum class Event {
    Nothing,
    Copy,       ///< The store's contents are copied.
    Return,     ///< The store returns to the last copy.
    Restart,    ///< The router's process is replaced.
    RestartAll, ///< All of them are.
    Outage,
    LoseAnswer,
    LateNews, ///< All routers learn of the store's era without a call.
};

constexpr int EventCount = 8;

struct Step
{
    Event event = Event::Nothing;
    std::size_t router = 0;
    milliseconds pause{0};
    bool isSlow = false; ///< The calls to the store take long.
};

rc::Gen<Step> genStep()
{
    // Most steps are undisturbed, so that routers come to hold the lease.
    const auto event = rc::gen::weightedOneOf<int>(
            {{6, rc::gen::just(0)}, {5, rc::gen::inRange(1, EventCount)}});
    return rc::gen::build<Step>(
            rc::gen::set(
                    &Step::event,
                    rc::gen::map(event, [](int number) { return static_cast<Event>(number); })),
            rc::gen::set(&Step::router, rc::gen::inRange<std::size_t>(0, Names.size())),
            rc::gen::set(&Step::pause, rc::gen::map(rc::gen::inRange(0, 1600),
                                                    [](int pause) { return milliseconds(pause); })),
            rc::gen::set(&Step::isSlow, rc::gen::map(rc::gen::inRange(0, 8),
                                                     [](int number) { return number == 0; })));
}

/// Routers, one lease and a store that returns to copies.
class Model
{
public:
    Model()
    {
        m_store.inner().setEra(3);
        for (std::size_t router = 0; router < Names.size(); ++router)
            restart(router);
    }

    void apply(const Step &step)
    {
        m_store.setFate(fateOf(step.event));
        if (step.event == Event::Copy)
            m_copy = m_store.inner().copy();
        else if (step.event == Event::Return)
            returnToCopy();
        else if (step.event == Event::Restart)
            restart(step.router);
        else if (step.event == Event::RestartAll)
            restartAll();
        else if (step.event == Event::LateNews)
            tellEra();
        m_callTime = milliseconds(step.isSlow ? 900 : 1);
        m_leases[step.router]->maintain([this] {
            const SteadyTime now = m_now;
            m_now += m_callTime;
            return now;
        });
        m_now += step.pause;
    }

    /// Checks the routers that may order now.
    void check()
    {
        std::optional<std::size_t> orderer;
        for (std::size_t router = 0; router < m_leases.size(); ++router) {
            if (!m_leases[router]->mayOrder(m_now))
                continue;
            RC_ASSERT(!orderer);
            orderer = router;
        }
        if (!orderer)
            return;
        const std::uint64_t token = m_leases[*orderer]->fencing();
        if (orderer == m_lastOrderer)
            RC_ASSERT(token >= m_highestToken);
        else
            RC_ASSERT(token > m_highestToken);
        m_highestToken = token;
        m_lastOrderer = orderer;
    }

    std::uint64_t highestToken() const { return m_highestToken; }

private:
    static UnreliableStore::Fate fateOf(Event event)
    {
        if (event == Event::Outage)
            return UnreliableStore::Fate::Outage;
        return event == Event::LoseAnswer ? UnreliableStore::Fate::LoseAnswer
                                          : UnreliableStore::Fate::Normal;
    }

    void returnToCopy()
    {
        m_store.inner().returnTo(m_copy);
        ++m_era;
    }

    void restart(std::size_t router)
    {
        LeaseOptions options;
        options.objectName = "lease";
        options.holder = Names.at(router);
        options.incarnation = 1;
        options.duration = Duration;
        options.orderTimeout = OrderTimeout;
        m_leases.resize(Names.size());
        m_leases[router] = std::make_unique<Lease>(m_store, options);
    }

    void restartAll()
    {
        for (std::size_t router = 0; router < Names.size(); ++router)
            restart(router);
    }

    void tellEra()
    {
        for (const auto &lease : m_leases)
            lease->recordEra(m_era, m_now);
    }

    UnreliableStore m_store;
    standin::MemoryStore::Copy m_copy;
    std::uint64_t m_era = 3;
    SteadyTime m_now{std::chrono::hours(1)};
    milliseconds m_callTime{0};
    std::vector<std::unique_ptr<Lease>> m_leases;
    std::uint64_t m_highestToken = 0;
    std::optional<std::size_t> m_lastOrderer;
};

} // namespace

RC_GTEST_PROP(LeaseReturnProperty, OneHolderAtATimeAndNoTokenTwice, ())
{
    const auto steps = *rc::gen::container<std::vector<Step>>(120, genStep());
    Model model;
    for (const Step &step : steps) {
        model.apply(step);
        model.check();
    }
    RC_TAG(model.highestToken() != 0);
}

} // namespace almondmill::test
