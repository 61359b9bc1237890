#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {

/// A request as received. Names of fields are in lower case.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields;
    std::string body;
    bool isMalformed = false; ///< The request line has more than two spaces.

    std::string field(const std::string &name) const;
};

/// An answer as received; status 0 when no complete head arrived.
struct HttpAnswer
{
    int status = 0;
    bool isComplete = false; ///< The body arrived as the head announced it.
    std::map<std::string, std::string> fields;
    std::string body;
};

/// Sends an answer with a length. `fields` are complete header lines. Throws std::system_error.
void sendAnswer(int socket, int status, const std::string &body, const std::string &fields = {});

/// Sends one request on a new connection to `host`:`port` and reads the answer. `fields` are
/// complete header lines. A connection that fails or breaks gives an incomplete answer.
HttpAnswer callOnce(const std::string &host, int port, const std::string &head,
                    const std::string &fields, const std::string &body,
                    std::chrono::milliseconds timeout);

/// A server with one thread per connection. The handler answers a request and returns whether the
/// connection stays open.
class HttpServer
{
public:
    using Handler = std::function<bool(int socket, const HttpRequest &request)>;

    /// Listens at once. Throws std::system_error if the address is taken.
    HttpServer(std::string host, int port, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::string address() const { return m_host + ":" + std::to_string(m_port); }

    /// Refuses new connections from now on; those that are open stay.
    void close();

private:
    struct Shared;

    std::string m_host;
    int m_port;
    std::shared_ptr<Shared> m_shared;
};

} // namespace review
