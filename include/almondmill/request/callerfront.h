#pragma once

#include "almondmill/kernel/part.h"

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
class RequestHandler;
struct ClientAccount;
struct Node;
struct Refusal;
struct RequestContext;

/// The callers' HTTP listener: finds the client account, bounds what is open, and hands each
/// request to the handler of its kind.
class CallerFront : public Part
{
public:
    explicit CallerFront(Node &node);
    ~CallerFront() override;

    Stage stage() const override { return Stage::Serving; }
    void dump(nlohmann::json &object) const override;

    /// Port bound at construction.
    int port() const { return m_port; }

    /// Starts to serve.
    void start() override;

    /// Takes no new connection and returns when all that were open are served and closed.
    void finishOpenWork() override;

    /// Stops accepting; the library cuts streams that are still open.
    void stop() override;

private:
    void addRoutes();

    /// Refuses by its headers alone what needs no body, so that none is read. True when it did.
    bool refuseByHead(const httplib::Request &request, httplib::Response &response);
    void serve(const httplib::Request &request, httplib::Response &response);
    void dispatch(const httplib::Request &request, httplib::Response &response);
    void explainFailure(const httplib::Request &request, httplib::Response &response);
    void refuse(const Refusal &refusal, httplib::Response &response);
    void admit();
    std::shared_ptr<const RequestContext> makeContext(const httplib::Request &request) const;

    Node &m_node;
    Counter &m_requests;
    std::unique_ptr<RequestHandler> m_modelHandler;
    std::unique_ptr<RequestHandler> m_serviceHandler;
    std::unique_ptr<CallerServer> m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace almondmill
