// Stand-in for one endpoint of the platform: it registers itself, serves requests and, as an
// engine, accepts orders. Prints one line to standard output for each request that it runs and each
// order.

#include "rietwerk/answertext.h"
#include "rietwerk/endpointobserver.h"
#include "rietwerk/registeredendpoint.h"

#include <CLI/CLI.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <iostream>

namespace {

using namespace almondmill::standin;
using namespace almondmill::standin::rietwerk;

class RunPrinter : public EndpointObserver
{
public:
    void requestBegan(const EndpointPlan &endpoint, const HttpRequest &request,
                      std::uint64_t weightsVersion) override
    {
        std::cout << "endpoint=" << endpoint.id << " runs=" << headerOf(request, "Request-Id")
                  << " account=" << headerOf(request, "Tenant") << " weights=" << weightsVersion
                  << std::endl;
    }

    void orderTaken(const EndpointPlan &endpoint, const TakenOrder &order) override
    {
        std::cout << "endpoint=" << endpoint.id << " loads=" << order.version
                  << " holder=" << order.holder << std::endl;
    }
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for an endpoint of the platform");
    EndpointPlan plan;
    EndpointFaults faults;
    std::string store;
    std::int64_t workMs = plan.work.count();
    app.add_option("--id", plan.id, "id of this incarnation")->required();
    app.add_option("--service", plan.service, "service that the endpoint belongs to")->required();
    app.add_option("--store", store, "IP:port of the metadata store")->required();
    app.add_option("--data-centre", plan.dataCentre, "data centre of the endpoint")->required();
    app.add_option("--listen", plan.listen, "IP:port to serve on");
    app.add_option("--slots", plan.slots, "number of requests that run concurrently");
    app.add_option("--work-ms", workMs, "processing time of a request, ms");
    app.add_option("--model", plan.model, "model served; empty for a plain service");
    app.add_option("--weights", plan.weightsVersion, "version of the model's weights at start");
    app.add_option("--failing", faults.failedRatio,
                   "ratio of requests answered with status 500, 0 to 1");
    CLI11_PARSE(app, argc, argv);
    plan.work = std::chrono::milliseconds(workMs);

    boost::asio::io_context loop;
    RunPrinter printer;
    RegisteredEndpoint endpoint(loop, plan, store, printer);
    endpoint.setFaults(faults);
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { loop.stop(); });
    loop.run();
    return 0;
}
