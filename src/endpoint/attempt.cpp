#include "almondmill/endpoint/attempt.h"

#include "almondmill/endpoint/attempthead.h"
#include "almondmill/endpoint/attemptobserver.h"
#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/endpoint/forwardedheaders.h"
#include "almondmill/endpoint/headernames.h"
#include "almondmill/http/boundedclient.h"
#include "almondmill/http/httphead.h"
#include "almondmill/kernel/hash.h"

#include <netinet/tcp.h>

namespace almondmill {

namespace {

constexpr int KeepAliveProbeSeconds = 2;

/// Bytes of an answer that may arrive between two pieces of its body: a head, or the framing of a
/// chunk.
constexpr std::size_t MaxBytesBetweenPieces = std::size_t(256) << 10U;

AttemptHead toHead(const httplib::Response &response)
{
    AttemptHead head;
    head.status = response.status;
    head.contentType = response.get_header_value("Content-Type");
    head.headers = forwardedHeaders(response.headers);
    head.attemptId = response.get_header_value(AttemptIdHeader);
    head.incarnation =
            std::strtoull(response.get_header_value(IncarnationHeader).c_str(), nullptr, 10);
    const std::string weights = response.get_header_value(WeightsHeader);
    head.weightsHash = weights.empty() ? 0 : hash64(weights);
    head.hasLoad = response.has_header(LoadHeader);
    head.load = static_cast<std::uint32_t>(
            std::strtoul(response.get_header_value(LoadHeader).c_str(), nullptr, 10));
    head.cachedTokens = static_cast<std::uint32_t>(
            std::strtoul(response.get_header_value(CachedTokensHeader).c_str(), nullptr, 10));
    return head;
}

void setOption(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof value);
}

/// Makes a connection fail when its packets are lost without an error, including while the router
/// waits for an answer and sends nothing.
void enableDeadPeerDetection(int socket, std::chrono::milliseconds timeout)
{
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveProbeSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveProbeSeconds);
}

std::unique_ptr<BoundedClient> makeClient(const AttemptRequest &request)
{
    auto client = std::make_unique<BoundedClient>(request.address, MaxBytesBetweenPieces);
    client->set_keep_alive(false);
    client->set_tcp_nodelay(true);
    client->set_decompress(false);
    client->set_url_encode(false);
    client->set_connection_timeout(request.connectTimeout);
    client->set_read_timeout(request.readTimeout);
    client->set_write_timeout(request.readTimeout);
    client->set_socket_options([timeout = request.unacknowledgedTimeout](int socket) {
        enableDeadPeerDetection(socket, timeout);
    });
    return client;
}

httplib::Request toLibraryRequest(const AttemptRequest &request)
{
    httplib::Request result;
    result.method = request.method;
    result.path = request.path;
    result.body = request.body;
    for (const HttpHeader &header : request.headers)
        result.headers.emplace(header.name, header.value);
    result.set_header(AttemptIdHeader, request.attemptId);
    if (!request.contentType.empty())
        result.set_header("Content-Type", request.contentType);
    return result;
}

bool connectFailed(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
           || error == httplib::Error::BindIPAddress;
}

} // namespace

Attempt::Attempt() = default;

Attempt::~Attempt() = default;

AttemptResult Attempt::run(const AttemptRequest &request, AttemptObserver &observer)
{
    auto newClient = makeClient(request);
    BoundedClient *client = newClient.get();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_client = std::move(newClient);
    }
    if (m_cancelled)
        return AttemptCancelled{};

    auto libraryRequest = toLibraryRequest(request);
    bool stoppedByObserver = false;
    libraryRequest.response_handler = [&](const httplib::Response &response) {
        if (!isStatus(static_cast<unsigned>(response.status)))
            return false;
        stoppedByObserver = !observer.onHead(toHead(response));
        return !stoppedByObserver;
    };
    libraryRequest.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                          std::uint64_t) {
        client->restartCount();
        stoppedByObserver = !observer.onBytes({data, size});
        return !stoppedByObserver;
    };
    const auto result = client->send(libraryRequest);
    // Cancelling closes the connection, which a body without a length takes for its end.
    if (result && !m_cancelled)
        return AttemptCompleted{};
    if (stoppedByObserver)
        return AttemptCancelled{};
    const std::string reason = httplib::to_string(result.error());
    if (connectFailed(result.error()))
        return AttemptNotSent{reason};
    if (m_cancelled)
        return AttemptCancelled{};
    return AttemptBroken{reason};
}

void Attempt::cancel()
{
    m_cancelled = true;
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_client)
        m_client->stop();
}

} // namespace almondmill
