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

/// What the caller may be told once an endpoint's answer begins.
struct RelayStart
{
    AttemptHead head;
    std::string endpoint;
};

/// Serves one completion on a thread of its own: carries out the steps of a RelayPlan and hands the
/// answer over through a bounded channel.
class StreamRelay : private AnswerSink
{
public:
    /// Most bytes of a stream that wait for a slow caller, or one event where that alone is larger.
    static constexpr std::size_t ChannelCapacityBytes = 64U << 10U;

    StreamRelay(const RelayEnvironment &environment, std::shared_ptr<const RequestContext> context,
                ModelRequest request);
    ~StreamRelay() override;
    StreamRelay(const StreamRelay &) = delete;
    StreamRelay &operator=(const StreamRelay &) = delete;

    void start();

    /// Blocks until an answer begins or the request is refused. Asks `callerGone` now and then, and
    /// cancels when it says so.
    std::variant<RelayStart, Refusal> waitForStart(const std::function<bool()> &callerGone);

    /// The next bytes for the caller; blocks until there are some, the end, or `until`.
    ChannelItem nextBytes(SteadyTime until) { return m_channel.pop(until); }

    /// Writes all that is left with `writer`. False when the caller is gone.
    bool writeAll(const EventChannel::Writer &writer, const std::function<bool()> &callerGone)
    {
        return m_channel.writeAll(writer, callerGone);
    }

    /// Bytes that wait for the caller now.
    std::size_t waitingBytes() const { return m_channel.waitingBytes(); }

    /// The caller went away: the endpoint's work is cancelled.
    void cancel();

private:
    using NextStep = std::optional<RelayStep>;

    void onAnswer(const AttemptHead &head) override;
    void onCrossedAnswer() override;
    void onActivity() override;
    void onVerdict(EventVerdict verdict) override;
    bool relay(std::string event) override;

    void run();
    NextStep carryOut(const SendAnew &step);
    NextStep carryOut(const ResumeStream &step);
    NextStep carryOut(const FinishRelay &step);
    NextStep carryOut(const FailRelay &step);
    NextStep carryOut(const AbandonRelay &step);

    /// False when no endpoint had room in time. True as well when none takes work at all.
    bool waitForRoom();
    EndpointSet::StatePointer choose();
    RelayStep attempt(const AttemptRequest &request, bool mustStream,
                      std::chrono::milliseconds firstLimit);
    bool beginAttempt(std::shared_ptr<Deadline> deadline);
    void countOutcome(const AttemptReport &report, bool resumed) const;
    AttemptRequest requestAnew() const;
    AttemptRequest requestResume() const;
    void relayPlain(const AnswerReader &reader);
    void learn(const AttemptHead &head);
    void cancelComputation();
    bool waitUnlessCancelled(std::chrono::milliseconds delay);
    bool started();

    /// False when the caller was already told something.
    bool publishStart(std::variant<RelayStart, Refusal> start);
    std::chrono::milliseconds firstLimit() const;

    const RelayEnvironment &m_environment;
    std::shared_ptr<const RequestContext> m_context;
    ModelRequest m_request;
    PlacementRequest m_placement;
    EventChannel m_channel;

    // Of the relay's own thread.
    RelayPlan m_plan;
    StreamProgress m_progress;
    std::set<std::string> m_tried;
    EndpointSet::StatePointer m_endpoint; ///< Where the present computation is.
    std::optional<AdmissionSlot> m_slot;  ///< From being let through to being counted.
    std::string m_attemptId;              ///< Of the present computation; empty when there is none.
    RelayStart m_answer;

    // Shared between the threads.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<Deadline> m_deadline; ///< Of the running attempt.
    bool m_cancelled = false;
    std::optional<std::variant<RelayStart, Refusal>> m_start;
    std::thread m_thread;
};

} // namespace almondmill
