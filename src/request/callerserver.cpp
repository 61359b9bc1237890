#include "almondmill/request/callerserver.h"

#include "almondmill/kernel/ondemandthreadpool.h"
#include "almondmill/request/callerstream.h"

#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace almondmill {

namespace {

constexpr std::size_t RefusalThreads = 8;
constexpr std::uint32_t MaxConcurrentRefusals = 1000;
constexpr std::chrono::milliseconds RefusalTimeout{2000};
constexpr std::chrono::milliseconds IdleCheckInterval{100};
constexpr const char *BinaryContentType = "application/octet-stream";

thread_local bool threadRefusesConnection = false;

/// Socket filter that drops TCP packets with SYN but without ACK and accepts all others. Offsets
/// are relative to the TCP header.
std::array<sock_filter, 5> connectionRequestFilter()
{
    constexpr std::uint32_t FlagsOffset = 13;
    constexpr std::uint32_t SynAndAck = 0x12;
    constexpr std::uint32_t Syn = 0x02;
    constexpr std::uint32_t WholePacket = 0xffffffff;
    return {{{BPF_LD | BPF_B | BPF_ABS, 0, 0, FlagsOffset},
             {BPF_ALU | BPF_AND | BPF_K, 0, 0, SynAndAck},
             {BPF_JMP | BPF_JEQ | BPF_K, 0, 1, Syn},
             {BPF_RET | BPF_K, 0, 0, 0},
             {BPF_RET | BPF_K, 0, 0, WholePacket}}};
}

} // namespace

/// Task queue that counts connections from their acceptance on. Connections beyond the limit are
/// refused by threads of their own.
class CallerServer::Connections : public httplib::TaskQueue
{
public:
    explicit Connections(CallerServer &server)
        : m_server(server)
        , m_serving(server.m_threads)
        , m_refusing(RefusalThreads)
    {}

    void enqueue(std::function<void()> serve) override
    {
        const std::uint32_t before = m_server.m_connections.fetch_add(1);
        if (before >= m_server.m_threads + MaxConcurrentRefusals) {
            refuse(serve, std::chrono::milliseconds(0));
            return;
        }
        if (before >= m_server.m_threads)
            m_refusing.enqueue([this, serve = std::move(serve)] { refuse(serve, RefusalTimeout); });
        else
            m_serving.enqueue([this, serve = std::move(serve)] {
                serve();
                m_server.m_connections.fetch_sub(1);
            });
    }

    void shutdown() override
    {
        m_serving.shutdown();
        m_refusing.shutdown();
    }

private:
    void refuse(const std::function<void()> &serve, std::chrono::milliseconds time)
    {
        threadRefusesConnection = time.count() != 0;
        serve();
        threadRefusesConnection = false;
        m_server.m_connections.fetch_sub(1);
    }

    CallerServer &m_server;
    OnDemandThreadPool m_serving;
    OnDemandThreadPool m_refusing;
};

CallerServer::CallerServer(const CallerLimits &limits, std::size_t threads,
                           const std::atomic<bool> &draining, std::shared_ptr<HeldMemory> memory)
    : m_limits(limits)
    , m_threads(threads)
    , m_draining(draining)
    , m_memory(std::move(memory))
{
    new_task_queue = [this] { return new Connections(*this); };
    set_payload_max_length(limits.bodyBytes);
    set_keep_alive_max_count(limits.requestsPerConnection);
}

bool CallerServer::isRefusingConnection()
{
    return threadRefusesConnection;
}

void CallerServer::stopAccepting()
{
    auto code = connectionRequestFilter();
    const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
    setsockopt(svr_sock_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

bool CallerServer::process_and_close_socket(socket_t socket)
{
    // The stream must end first: its eviction by another thread uses the descriptor.
    const bool served = serveConnection(socket);
    close(socket);
    return served;
}

bool CallerServer::serveConnection(socket_t socket)
{
    CallerLimits limits = m_limits;
    if (isRefusingConnection())
        limits.headTimeout = limits.bodyTimeout = limits.writeTimeout = limits.idleTimeout =
                RefusalTimeout;
    CallerStream stream(socket, limits, m_memory);
    bool served = true;
    for (std::size_t left = limits.requestsPerConnection; left > 0 && served; --left) {
        if (!waitForRequest(stream))
            break;
        served = serveRequest(stream, left == 1 || m_draining || isRefusingConnection());
    }
    stream.lingeringClose();
    return served;
}

/// Blocks while the connection is idle. False when the connection has to be closed.
bool CallerServer::waitForRequest(const CallerStream &stream) const
{
    const SteadyTime until = std::chrono::steady_clock::now() + stream.limits().idleTimeout;
    while (!stream.pollForRequest(IdleCheckInterval)) {
        const bool overLimit = m_connections > m_threads;
        const bool stopped = svr_sock_ == INVALID_SOCKET;
        if (stream.callerGone() || overLimit || stopped
            || std::chrono::steady_clock::now() >= until)
            return false;
    }
    return true;
}

/// Serves one request. True when the connection can carry another one.
bool CallerServer::serveRequest(CallerStream &stream, bool last)
{
    stream.beginHead(std::chrono::steady_clock::now());
    bool closed = false;
    const bool served = process_request(
            stream, last, closed, [&](httplib::Request &request) { prepare(stream, request); });
    stream.releaseHeld();
    stream.endRequest();
    return served && !closed && !last && !stream.closing();
}

/// Prevents the library from applying range requests to responses and from parsing form bodies.
void CallerServer::prepare(CallerStream &stream, httplib::Request &request)
{
    stream.beginBody(std::chrono::steady_clock::now(), request.get_header_value("Content-Type"));
    request.ranges.clear();
    if (request.headers.erase("Content-Type") != 0)
        request.headers.emplace("Content-Type", BinaryContentType);
}

} // namespace almondmill
