#include "probesender.h"

#include "messages.h"
#include "peerchannels.h"
#include "peertraffic.h"

namespace almondmill {

struct ProbeSender::Call
{
    using Reader = grpc::ClientAsyncResponseReaderInterface<fleet::ProbeAnswer>;

    std::uint64_t id = 0;
    std::string peer;
    std::shared_ptr<PeerChannels::Stub> stub;
    grpc::ClientContext context;
    fleet::ProbeAnswer answer;
    grpc::Status status;
    std::unique_ptr<Reader> reader;
};

ProbeSender::ProbeSender(PeerChannels &channels, Metrics &metrics)
    : m_channels(channels)
    , m_metrics(metrics)
{}

ProbeSender::~ProbeSender()
{
    m_queue.Shutdown();
    void *tag = nullptr;
    bool ok = false;
    while (m_queue.Next(&tag, &ok))
        delete static_cast<Call *>(tag);
}

void ProbeSender::send(const Probe &probe, std::chrono::milliseconds timeout)
{
    auto call = std::make_unique<Call>();
    call->id = probe.id;
    call->peer = probe.via.empty() ? probe.target : probe.via;
    call->stub = m_channels.stub(call->peer);
    call->context.set_deadline(std::chrono::system_clock::now() + timeout);
    const fleet::Heartbeat heartbeat = toMessage(probe.heartbeat);
    countHeartbeatSent(m_metrics, heartbeat.ByteSizeLong());
    if (probe.via.empty()) {
        call->reader = call->stub->AsyncProbe(&call->context, heartbeat, &m_queue);
    } else {
        fleet::IndirectProbe request;
        *request.mutable_heartbeat() = heartbeat;
        request.set_target(probe.target);
        call->reader = call->stub->AsyncProbeFor(&call->context, request, &m_queue);
    }
    Call *tag = call.release();
    tag->reader->Finish(&tag->answer, &tag->status, tag);
}

std::optional<ProbeResult> ProbeSender::next(std::chrono::milliseconds wait)
{
    void *tag = nullptr;
    bool ok = false;
    const auto deadline = std::chrono::system_clock::now() + wait;
    if (m_queue.AsyncNext(&tag, &ok, deadline) != grpc::CompletionQueue::GOT_EVENT)
        return std::nullopt;
    const std::unique_ptr<Call> call(static_cast<Call *>(tag));
    ProbeResult result;
    result.id = call->id;
    result.answered = call->status.ok();
    if (!result.answered) {
        m_channels.drop(call->peer, call->stub);
        return result;
    }
    countHeartbeatReceived(m_metrics, call->answer.ByteSizeLong());
    result.reached = call->answer.reached();
    result.heartbeat = fromMessage(call->answer.heartbeat());
    return result;
}

} // namespace almondmill
