#pragma once

#include "almondmill/kernel/part.h"

#include <memory>
#include <thread>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace almondmill {

class RequestHandler;
struct Node;
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

    /// Stops accepting; call once no request is open, since the library cuts open streams here.
    void stop() override;

private:
    void serve(const httplib::Request &request, httplib::Response &response);
    std::shared_ptr<const RequestContext> makeContext(const httplib::Request &request) const;

    Node &m_node;
    std::unique_ptr<RequestHandler> m_modelHandler;
    std::unique_ptr<RequestHandler> m_serviceHandler;
    std::unique_ptr<httplib::Server> m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace almondmill
