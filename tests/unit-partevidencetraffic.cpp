// Guards the exchange of evidence against prompt parts in a large fleet: its bytes, and that a part
// is open at all routers soon after its crashes.

#include "almondmill/forward/partbreakers.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/peers/broadcasttree.h"
#include "almondmill/peers/partevidencemessage.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <random>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t FleetSize = 320;
constexpr SteadyTime Start{std::chrono::hours(1)};

/// As in PeerExchange.
constexpr milliseconds StateInterval{250};
constexpr milliseconds EvidenceDelay{20};
constexpr std::size_t EvidencePerMessage = 75;
constexpr std::size_t EvidencePerRound = 16;

constexpr std::size_t RoundsPerRepeat = 4;

constexpr milliseconds HopTime{20};
constexpr milliseconds Step{5};

/// Bytes that IP and UDP add to a datagram.
constexpr std::size_t DatagramHeaderBytes = 28;

constexpr PartHash Crashing = 1;
constexpr PartHash FirstParts = 100; ///< Each prompt begins with one of four parts.
constexpr PartHash Sessions = 1000;  ///< And goes on with the part of one of many sessions.

/// Routers that exchange evidence as PeerExchange does, over a network without loss.
class EvidenceFleet
{
public:
    EvidenceFleet()
    {
        for (std::size_t index = 0; index < FleetSize; ++index)
            m_names.push_back("front-" + std::to_string(index));
        for (std::size_t index = 0; index < FleetSize; ++index) {
            m_routers.emplace_back(m_names[index]);
            m_routers[index].nextRound = Start + randomTime(StateInterval);
            m_routers[index].nextPeer = randomBelow(FleetSize);
            m_routers[index].breakers.start([this, index] {
                Router &router = m_routers[index];
                router.publishAt = std::min(router.publishAt, m_now + EvidenceDelay);
            });
            for (const std::string &name : m_names) {
                if (name != m_names[index])
                    m_routers[index].breakers.addRouter(name);
            }
        }
    }

    SteadyTime now() const { return m_now; }
    PartBreakers &breakers(std::size_t router) { return m_routers[router].breakers; }
    std::size_t randomBelow(std::size_t bound) { return m_random() % bound; }
    std::size_t bytesSentBy(std::size_t router) const { return m_routers[router].sentBytes; }

    std::size_t sentBytes() const
    {
        std::size_t bytes = 0;
        for (const Router &router : m_routers)
            bytes += router.sentBytes;
        return bytes;
    }

    std::size_t routersWithOpenPart()
    {
        std::size_t count = 0;
        for (Router &router : m_routers)
            count += router.breakers.findOpen({Crashing}, m_now) ? 1 : 0;
        return count;
    }

    /// Goes on by one step.
    void run()
    {
        m_now += Step;
        while (!m_onTheWay.empty() && m_onTheWay.begin()->first <= m_now) {
            const Datagram datagram = m_onTheWay.begin()->second;
            m_onTheWay.erase(m_onTheWay.begin());
            receive(datagram);
        }
        for (std::size_t index = 0; index < FleetSize; ++index) {
            Router &router = m_routers[index];
            if (m_now >= router.publishAt)
                publish(index);
            if (m_now >= router.nextRound)
                sendRound(index);
        }
    }

private:
    struct Router
    {
        explicit Router(const std::string &name)
            : breakers(name, metrics)
        {}

        Metrics metrics;
        PartBreakers breakers;
        SteadyTime publishAt = SteadyTime::max();
        SteadyTime nextRound;
        std::size_t nextPeer = 0;
        std::size_t rounds = 0;
        std::uint64_t sequence = 0;
        std::size_t sentBytes = 0;
        std::map<std::string, std::uint64_t> lastSequences; ///< By origin.
    };

    struct Datagram
    {
        std::size_t to = 0;
        std::shared_ptr<const std::string> bytes;
    };

    milliseconds randomTime(milliseconds below)
    {
        return milliseconds(randomBelow(static_cast<std::size_t>(below.count())));
    }

    void publish(std::size_t index)
    {
        Router &router = m_routers[index];
        router.publishAt = SteadyTime::max();
        PartEvidenceMessage message;
        message.evidence = router.breakers.takeUnsent(EvidencePerMessage, m_now);
        if (message.evidence.empty())
            return;
        message.origin = m_names[index];
        message.incarnation = index;
        message.sequence = ++router.sequence;
        forward(index, message.origin,
                std::make_shared<const std::string>(encodePartEvidence(message, m_now)));
        if (router.breakers.hasUnsent(m_now))
            router.publishAt = m_now + EvidenceDelay;
    }

    void sendRound(std::size_t index)
    {
        Router &router = m_routers[index];
        router.nextRound += StateInterval;
        router.breakers.refresh(m_now);
        publish(index);
        if (++router.rounds % RoundsPerRepeat != 0)
            return;
        PartEvidenceMessage message;
        message.evidence = router.breakers.takeRepeats(EvidencePerRound);
        router.nextPeer = (router.nextPeer + 1) % FleetSize;
        if (!message.evidence.empty())
            send(index, router.nextPeer,
                 std::make_shared<const std::string>(encodePartEvidence(message, m_now)));
    }

    void receive(const Datagram &datagram)
    {
        Router &router = m_routers[datagram.to];
        const auto message = decodePartEvidence(*datagram.bytes, m_now);
        ASSERT_TRUE(message);
        if (!message->origin.empty()) {
            std::uint64_t &last = router.lastSequences[message->origin];
            if (message->origin == m_names[datagram.to] || message->sequence <= last)
                return;
            last = message->sequence;
            forward(datagram.to, message->origin, datagram.bytes);
        }
        router.breakers.merge(message->evidence,
                              message->origin.empty() ? PartBreakers::Audience::ThisRouter
                                                      : PartBreakers::Audience::AllRouters,
                              m_now);
    }

    void forward(std::size_t from, const std::string &origin,
                 const std::shared_ptr<const std::string> &bytes)
    {
        const auto [children, isNew] = m_children.try_emplace({origin, from});
        if (isNew) {
            for (const std::string &child : broadcastTreeChildren(origin, m_names[from], m_names))
                children->second.push_back(std::stoul(child.substr(child.find('-') + 1)));
        }
        for (const std::size_t child : children->second)
            send(from, child, bytes);
    }

    void send(std::size_t from, std::size_t to, const std::shared_ptr<const std::string> &bytes)
    {
        m_routers[from].sentBytes += bytes->size() + DatagramHeaderBytes;
        m_onTheWay.emplace(m_now + HopTime, Datagram{to, bytes});
    }

    SteadyTime m_now = Start;
    std::mt19937 m_random{1};
    std::vector<std::string> m_names;
    std::deque<Router> m_routers;
    std::multimap<SteadyTime, Datagram> m_onTheWay;
    std::map<std::pair<std::string, std::size_t>, std::vector<std::size_t>> m_children;
};

/// Prompts of callers at random routers; one in twenty has the part that crashes engines. Five
/// other prompts wait at each engine that crashes.
class PromptTraffic
{
public:
    explicit PromptTraffic(EvidenceFleet &fleet)
        : m_fleet(fleet)
    {}

    std::size_t crashes() const { return m_crashes; }

    void run()
    {
        for (std::size_t prompt = 0; prompt < PromptsPerStep; ++prompt) {
            if (m_fleet.randomBelow(CrashingShare) == 0)
                sendCrashing();
            else
                answerSound();
        }
    }

private:
    /// 800 prompts a second.
    static constexpr std::size_t PromptsPerStep = 4;
    static constexpr std::size_t CrashingShare = 20;
    static constexpr std::size_t Neighbours = 5;
    static constexpr std::size_t SessionCount = 3000;

    PartBreakers::Parts soundParts()
    {
        return {FirstParts + m_fleet.randomBelow(4), Sessions + m_fleet.randomBelow(SessionCount)};
    }

    void answerSound()
    {
        PartBreakers &breakers = m_fleet.breakers(m_fleet.randomBelow(FleetSize));
        const auto parts = soundParts();
        if (!breakers.findOpen(parts, m_fleet.now()))
            breakers.recordAnswer(parts, m_fleet.now());
    }

    void sendCrashing()
    {
        auto parts = soundParts();
        parts.push_back(Crashing);
        PartBreakers &breakers = m_fleet.breakers(m_fleet.randomBelow(FleetSize));
        PartBreakers::Parts tested;
        if (breakers.admit(parts, m_fleet.now(), tested))
            return;
        const std::uint64_t engine = hashOfCrash(++m_crashes);
        breakers.recordCrash(engine, parts, m_fleet.now());
        for (std::size_t neighbour = 0; neighbour < Neighbours; ++neighbour)
            m_fleet.breakers(m_fleet.randomBelow(FleetSize))
                    .recordCrash(engine, soundParts(), m_fleet.now());
    }

    static std::uint64_t hashOfCrash(std::size_t crash) { return ~std::uint64_t(0) - crash; }

    EvidenceFleet &m_fleet;
    std::size_t m_crashes = 0;
};

} // namespace

// Guards against routers that pass on a crashing part because its crashes were seen elsewhere.
TEST(PartEvidenceTraffic, APartIsOpenAtAllOf320RoutersSoonAfterItsCrashes)
{
    EvidenceFleet fleet;
    PromptTraffic traffic(fleet);
    while (fleet.now() < Start + seconds(3)) {
        traffic.run();
        fleet.run();
    }
    EXPECT_GE(traffic.crashes(), 3U);
    EXPECT_EQ(fleet.routersWithOpenPart(), FleetSize);
}

// Guards against evidence that takes the place of other control traffic, of which a router may send
// 2 KB per second: a quarter on average, half at the busiest router.
TEST(PartEvidenceTraffic, BytesOfARouterStayWithinTheirBoundAt320Routers)
{
    constexpr std::size_t Duration = 30;
    constexpr std::size_t MaxBytesPerSecond = 1000;
    EvidenceFleet fleet;
    PromptTraffic traffic(fleet);
    while (fleet.now() < Start + seconds(Duration)) {
        traffic.run();
        fleet.run();
    }
    EXPECT_LT(fleet.sentBytes() / FleetSize / Duration, MaxBytesPerSecond / 2);
    std::size_t most = 0;
    for (std::size_t router = 0; router < FleetSize; ++router)
        most = std::max(most, fleet.bytesSentBy(router) / Duration);
    EXPECT_LT(most, MaxBytesPerSecond);
}

} // namespace almondmill::test
