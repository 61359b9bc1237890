#pragma once

#include "almondmill/admission/admissionslot.h"
#include "almondmill/endpoint/attempthead.h"
#include "almondmill/endpoint/endpointset.h"
#include "almondmill/placement/placementrequest.h"
#include "almondmill/request/answersink.h"
#include "almondmill/request/eventchannel.h"
#include "almondmill/request/modelrequest.h"
#include "almondmill/request/relayplan.h"
#include "almondmill/request/streamprogress.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <variant>

namespace almondmill {

class AnswerReader;
class Deadline;
struct AttemptRequest;
struct RelayEnvironment;
struct RequestContext;

/// Head of the response to the caller, known once an endpoint's answer begins.
struct RelayStart
{
    AttemptHead head;
    std::string endpoint;
};

/// Serves one completion on its own thread. Carries out the steps of a RelayPlan and passes the
/// answer to the caller's thread through a bounded channel.
class StreamRelay : private AnswerSink
{
public:
    /// Largest number of bytes that are queued for a slow caller, unless one event alone is larger.
    static constexpr std::size_t ChannelCapacityBytes = 64U << 10U;

    StreamRelay(const RelayEnvironment &environment, std::shared_ptr<const RequestContext> context,
                ModelRequest request);
    ~StreamRelay() override;
    StreamRelay(const StreamRelay &) = delete;
    StreamRelay &operator=(const StreamRelay &) = delete;

    void start();

    /// Blocks until an answer begins or the request is refused. Polls `callerGone` every 200 ms and
    /// cancels the relay when it returns true.
    std::variant<RelayStart, Refusal> waitForStart(const std::function<bool()> &callerGone);

    /// Returns the next bytes for the caller. Blocks until there are some, until the end, or until
    /// `until`.
    ChannelItem nextBytes(SteadyTime until) { return m_channel.pop(until); }

    /// Writes the rest of the answer with `writer`. False when the caller is gone.
    bool writeAll(const EventChannel::Writer &writer, const std::function<bool()> &callerGone)
    {
        return m_channel.writeAll(writer, callerGone);
    }

    /// Bytes that are queued for the caller at present.
    std::size_t queuedBytes() const { return m_channel.queuedBytes(); }

    /// Cancels the computation at the endpoint, because the caller is gone.
    void cancel();

private:
    using NextStep = std::optional<RelayStep>;

    void onAnswer(const AttemptHead &head) override;
    void onCrossedAnswer() override;
    void onActivity() override;
    void onVerdict(EventVerdict verdict) override;
    bool relay(std::string event) override;

    void run();
    NextStep carryOut(const SendToNewEndpoint &step);
    NextStep carryOut(const ResumeStream &step);
    NextStep carryOut(const FinishRelay &step);
    NextStep carryOut(const FailRelay &step);
    NextStep carryOut(const AbandonRelay &step);

    /// Waits for admission by the load control. False when it is denied. Returns true at once when
    /// no endpoint accepts work, since choosing an endpoint fails then.
    bool waitForAdmission();
    EndpointSet::StatePointer choose();
    RelayStep attempt(const AttemptRequest &request, bool mustStream,
                      std::chrono::milliseconds firstEventTimeout);
    bool beginAttempt(std::shared_ptr<Deadline> deadline);
    void recordOutcome(const AttemptReport &report, bool resumed) const;
    AttemptRequest completionRequest() const;
    AttemptRequest resumeRequest() const;
    void relayPlain(const AnswerReader &reader);
    void recordHead(const AttemptHead &head);
    void cancelComputation();
    bool waitUnlessCancelled(std::chrono::milliseconds delay);
    bool started();

    /// Publishes the start of the response. False when one was published before.
    bool publishStart(std::variant<RelayStart, Refusal> start);
    std::chrono::milliseconds firstEventTimeout() const;

    const RelayEnvironment &m_environment;
    std::shared_ptr<const RequestContext> m_context;
    ModelRequest m_request;
    PlacementRequest m_placement;
    EventChannel m_channel;

    // Accessed only by the relay's own thread.
    RelayPlan m_plan;
    StreamProgress m_progress;
    std::set<std::string> m_tried;
    EndpointSet::StatePointer m_endpoint; ///< Runs the present computation.
    std::optional<AdmissionSlot> m_slot;  ///< From admission until the endpoint counts the request.
    std::string m_attemptId;              ///< Of the present computation, or empty.
    RelayStart m_answer;

    // Shared by both threads; guarded by m_mutex.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<Deadline> m_deadline; ///< Of the running attempt.
    bool m_cancelled = false;
    std::optional<std::variant<RelayStart, Refusal>> m_start;
    std::thread m_thread;
};

} // namespace almondmill
