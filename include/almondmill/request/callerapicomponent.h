#pragma once

#include "almondmill/kernel/component.h"

#include <memory>
#include <string>
#include <thread>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace almondmill {

class CallerServer;
class Configuration;
class Counter;
class EndpointSet;
class HeldMemory;
class RequestHandler;
struct ClientAccount;
struct Node;
struct Refusal;
struct RequestContext;

/// The callers' HTTP listener. Looks up the client account of each request, limits the number of
/// open requests, and dispatches each request to the handler for its kind.
class CallerApiComponent : public Component
{
public:
    explicit CallerApiComponent(Node &node);
    ~CallerApiComponent() override;

    Stage stage() const override { return Stage::Serving; }
    void dump(nlohmann::json &object) const override;

    /// The port that the constructor bound.
    int port() const { return m_port; }

    void start() override;

    /// Stops accepting connections and returns once all open ones are served and closed.
    void finishOpenWork() override;

    /// Stops the server. The HTTP library aborts streams that are still open.
    void stop() override;

private:
    void addRoutes();

    /// Refuses a request on its headers alone where possible, so that its body is not read. True
    /// when the request was refused.
    bool refuseByHeaders(const httplib::Request &request, httplib::Response &response);
    void serve(const httplib::Request &request, httplib::Response &response);
    void dispatch(const httplib::Request &request, httplib::Response &response);
    void respondToLibraryError(const httplib::Request &request, httplib::Response &response);
    void refuse(const Refusal &refusal, httplib::Response &response);
    void admit();
    std::shared_ptr<const RequestContext> makeContext(const httplib::Request &request) const;

    Node &m_node;
    Counter &m_requests;
    std::unique_ptr<RequestHandler> m_modelHandler;
    std::unique_ptr<RequestHandler> m_serviceHandler;
    std::shared_ptr<HeldMemory> m_memory;
    std::unique_ptr<CallerServer> m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace almondmill
