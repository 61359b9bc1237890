#include "support/relayharness.h"

#include "almondmill/placement/placer.h"
#include "almondmill/request/requestcontext.h"

namespace almondmill::test {

namespace {

constexpr std::chrono::milliseconds CancelTimeout{100};
constexpr std::chrono::hours Forever{24};

Settings settingsWithoutTimeouts()
{
    Settings settings;
    settings.firstByteTimeout = Forever;
    settings.streamIdleTimeout = Forever;
    settings.requestTimeout = Forever;
    return settings;
}

/// Load control whose retry budget no relay under test exhausts.
LoadControl::Options loadWithLargeRetryBudget()
{
    LoadControl::Options options;
    options.retries.maxAvailable = 1e9;
    return options;
}

/// Creates endpoints with an address at which nothing listens. Only cancels are sent there.
std::shared_ptr<const Configuration> configurationOf(std::size_t endpoints)
{
    Inventory inventory;
    Model model;
    model.name = "reed";
    inventory.models = {model};
    for (std::size_t i = 0; i < endpoints; ++i) {
        Endpoint endpoint;
        endpoint.name = "engine-" + std::to_string(i);
        endpoint.address = "127.0.0.1:1";
        endpoint.model = model.name;
        inventory.endpoints.push_back(endpoint);
    }
    Rules rules;
    rules.placementPolicy = "rendezvous";
    rules.clientAccounts.resize(1);
    return std::make_shared<const Configuration>(1, inventory, rules);
}

} // namespace

RelayHarness::RelayHarness(std::size_t endpoints,
                           std::function<std::unique_ptr<AttemptRunner>()> makeAttempt)
    : m_node(settingsWithoutTimeouts())
    , m_metrics(m_node.metrics)
    , m_cancels(m_node.metrics, CancelTimeout)
    , m_load(loadWithLargeRetryBudget(), m_node.metrics)
    , m_environment{m_node, m_watch, m_cancels, m_metrics, m_load, std::move(makeAttempt)}
{
    m_node.placer = std::make_unique<Placer>(m_node, m_node.metrics);
    m_node.endpoints.apply(configurationOf(endpoints));
}

std::unique_ptr<StreamRelay> RelayHarness::makeRelay(bool deterministic) const
{
    auto context = std::make_shared<RequestContext>();
    context->endpoints = m_node.endpoints.snapshot();
    context->account = &context->endpoints->configuration().rules().clientAccounts.front();
    context->method = "POST";
    context->path = "/v1/completions";
    context->arrived = std::chrono::steady_clock::now();
    ModelRequest request;
    request.model = "reed";
    request.stream = true;
    request.deterministic = deterministic;
    return std::make_unique<StreamRelay>(m_environment, context, request);
}

std::string RelayHarness::readToEnd(bool deterministic) const
{
    const auto relay = makeRelay(deterministic);
    relay->start();
    const auto start = relay->waitForStart([] { return false; });
    if (const auto *refusal = std::get_if<Refusal>(&start))
        return refusal->json();
    std::string text;
    while (true) {
        const ChannelItem item = relay->nextBytes(SteadyTime::max());
        if (!std::holds_alternative<ChannelBytes>(item))
            return text;
        text += std::get<ChannelBytes>(item).bytes;
    }
}

std::string RelayHarness::writeToEnd(bool deterministic) const
{
    const auto relay = makeRelay(deterministic);
    relay->start();
    const auto start = relay->waitForStart([] { return false; });
    if (const auto *refusal = std::get_if<Refusal>(&start))
        return refusal->json();
    std::string text;
    const auto writer = [&text](const ChannelBytes &chunk) {
        text += chunk.bytes;
        return true;
    };
    relay->writeAll(writer, [] { return false; });
    return text;
}

} // namespace almondmill::test
