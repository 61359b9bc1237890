#pragma once

#include "endpoint.h"
#include "metadatastore.h"
#include "record.h"
#include "routerprocess.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

/// What differs between the deployments of the cases.
struct DeploymentPlan
{
    int routers = 1;
    int memoryMb = 96; ///< Memory of a router's machine.
    int engines = 2;

    /// Part of a prompt that crashes engines; empty for none.
    std::string crashingPart;
    bool crashesEarly = false; ///< Before the first event of an answer, not right after it.
};

/// A small deployment on loopback addresses: the store, engines of a model, two endpoints of a
/// plain service, and routers. The bounds are those of the small installations.
class Deployment
{
public:
    /// Starts the store, the endpoints and the routers. Throws std::runtime_error when no free
    /// addresses are found.
    Deployment(Record &record, const DeploymentPlan &plan);

    /// Ends all routers, removes the temporary folder and ends this process with `code`. The
    /// threads of the stand-ins run until then.
    [[noreturn]] void exit(int code);

    /// Waits until all routers are ready and have read the registrations. Returns false when one
    /// isn't in time.
    bool waitUntilReady();

    RouterProcess &router(int index) { return *m_routers.at(static_cast<std::size_t>(index)); }
    const std::vector<std::unique_ptr<Endpoint>> &endpoints() const { return m_endpoints; }

    /// All requests that endpoints began to run.
    std::vector<Endpoint::Run> runs() const;

    /// Whether the router's readiness address answers 200 within the time.
    static bool isReady(RouterProcess &router, std::chrono::milliseconds timeout);

private:
    std::string address(int machine, int port) const;
    void findAddresses();
    void addEndpoint(Record &record, EndpointPlan plan);
    void addRouter(int index, int memoryMb);

    std::string m_folder;
    std::string m_network; ///< "127.A.B".
    int m_port = 0;        ///< The first of the ports, which are the same on all machines.
    std::unique_ptr<MetadataStore> m_store;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<std::unique_ptr<RouterProcess>> m_routers;
};

} // namespace review
