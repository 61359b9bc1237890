#include "almondmill/forward/peerperformance.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/endpointviews.h"
#include "almondmill/forward/serviceperformances.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/peers/peerviews.h"
#include "almondmill/route/routingtable.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Samples of an endpoint that the reporting routers are expected to have, as a part of the samples
/// of its service divided by the endpoints. An endpoint that is slow gets fewer requests.
constexpr double ExpectedSampleRatio = 0.5;

WeightedFigure withUnreported(WeightedFigure ratio, const WeightedFigure &ofService,
                              double endpoints)
{
    const double expected = ofService.samples / endpoints * ExpectedSampleRatio;
    ratio += {1, std::max(0.0, expected - ratio.samples)};
    return ratio;
}

} // namespace

void applyPeerPerformance(const EndpointViews &endpoints, const PeerViews &peers,
                          const RoutingTable *table, ServicePerformances &performances)
{
    for (const auto &[service, views] : endpoints.byService()) {
        if (views.empty())
            continue;
        const std::uint32_t slots = views.front()->registration().slots;
        const ServiceSamples reported = peers.reportedSamplesOf(shortHash(service));
        ServicePerformance &performance = performances.of(service, slots);
        performance.setInitial(initialFigures(table ? table->service(service) : nullptr, slots));
        performance.setReported(reported);
        const auto count = static_cast<double>(views.size());
        for (const auto &view : views) {
            EndpointSamples samples = peers.reportedSamplesOn(shortHash(view->id()));
            samples.prefillRatio =
                    withUnreported(samples.prefillRatio, reported.prefillTokensPerMs, count);
            samples.fetchRatio =
                    withUnreported(samples.fetchRatio, reported.fetchedTokensPerMs, count);
            samples.residenceRatio =
                    withUnreported(samples.residenceRatio, reported.residenceMs, count);
            view->performance().setReported(samples);
        }
    }
}

} // namespace almondmill
