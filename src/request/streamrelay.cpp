#include "almondmill/request/streamrelay.h"
#include "almondmill/kernel/steadynow.h"

#include "almondmill/admission/loadcontrol.h"
#include "almondmill/config/clientaccount.h"
#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/endpoint/attemptrunner.h"
#include "almondmill/endpoint/cancelqueue.h"
#include "almondmill/endpoint/deadline.h"
#include "almondmill/endpoint/deadlinewatch.h"
#include "almondmill/endpoint/headernames.h"
#include "almondmill/kernel/node.h"
#include "almondmill/kernel/randomid.h"
#include "almondmill/placement/placer.h"
#include "almondmill/placement/prefixkeys.h"
#include "almondmill/request/answerreader.h"
#include "almondmill/request/relayenvironment.h"
#include "almondmill/request/relaymetrics.h"
#include "almondmill/request/requestcontext.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Used to estimate the tokens of a prompt, which the router does not tokenize.
constexpr std::size_t BytesPerToken = 4;
constexpr std::chrono::milliseconds CallerCheckInterval{200};
constexpr const char *LastEventIdHeader = "Last-Event-ID";

std::chrono::microseconds sinceArrival(const RequestContext &context)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(steadyNow() - context.arrived);
}

bool isFailure(AttemptEnd end)
{
    return end != AttemptEnd::Complete && end != AttemptEnd::CallerGone;
}

} // namespace

StreamRelay::StreamRelay(const RelayEnvironment &environment,
                         std::shared_ptr<const RequestContext> context, ModelRequest request)
    : m_environment(environment)
    , m_context(std::move(context))
    , m_request(std::move(request))
    , m_channel(ChannelCapacityBytes)
    , m_plan(m_request.deterministic, m_context->arrived + environment.node.settings.requestTimeout)
{
    const Model *model = m_context->endpoints->configuration().model(m_request.model);
    const PrefixScope scope{m_context->account->name, model->name, model->weights};
    m_placement.prefixKeys =
            prefixKeys(scope, m_request.prompt, model->blockTokens * BytesPerToken);
    m_placement.priority = m_context->priority;
    m_placement.dataCentre = m_environment.node.settings.dataCentre;
    m_placement.model = model->name;
    m_placement.configuration = &m_context->endpoints->configuration();
}

StreamRelay::~StreamRelay()
{
    cancel();
    if (m_thread.joinable())
        m_thread.join();
}

void StreamRelay::start()
{
    m_thread = std::thread([this] { run(); });
}

std::variant<RelayStart, Refusal> StreamRelay::waitForStart(const std::function<bool()> &callerGone)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_changed.wait_for(lock, CallerCheckInterval, [&] { return m_start.has_value(); })) {
        if (m_cancelled || !callerGone())
            continue;
        lock.unlock();
        cancel();
        lock.lock();
    }
    return *m_start;
}

void StreamRelay::cancel()
{
    m_channel.close();
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cancelled = true;
    if (m_deadline)
        m_environment.watch.expireNow(m_deadline);
    m_changed.notify_all();
}

void StreamRelay::run()
{
    NextStep step = SendToNewEndpoint{};
    while (step)
        step = std::visit([this](const auto &known) { return carryOut(known); }, *step);
    m_channel.finish();
}

StreamRelay::NextStep StreamRelay::carryOut(const SendToNewEndpoint & /*step*/)
{
    cancelComputation();
    if (m_endpoint && !m_environment.load.mayRetry(steadyNow()))
        return m_plan.retryBudgetExhausted();
    if (!waitForAdmission())
        return m_plan.allEndpointsBusy();
    const auto endpoint = choose();
    if (!endpoint)
        return m_plan.noEndpointAvailable();
    if (m_progress.relayed() != 0)
        m_environment.metrics.recomputes.add();
    else if (m_endpoint)
        m_environment.metrics.retries.add();
    m_tried.insert(endpoint->endpoint().name);
    m_endpoint = endpoint;
    m_attemptId = randomId();
    m_progress.restartComputation();
    return attempt(completionRequest(), started(), firstEventTimeout());
}

StreamRelay::NextStep StreamRelay::carryOut(const ResumeStream &step)
{
    if (!waitUnlessCancelled(step.delay))
        return AbandonRelay{};
    m_environment.metrics.resumes.add();
    const bool begun = m_progress.seen() != 0;
    return attempt(resumeRequest(), true,
                   begun ? m_environment.node.settings.streamIdleTimeout : firstEventTimeout());
}

StreamRelay::NextStep StreamRelay::carryOut(const FinishRelay & /*step*/)
{
    return std::nullopt;
}

StreamRelay::NextStep StreamRelay::carryOut(const FailRelay &step)
{
    cancelComputation();
    m_environment.metrics.errors.add();
    if (!publishStart(step.refusal))
        m_channel.push("event: error\ndata: " + step.refusal.json() + "\n\n", steadyNow());
    return std::nullopt;
}

StreamRelay::NextStep StreamRelay::carryOut(const AbandonRelay & /*step*/)
{
    cancelComputation();
    m_environment.metrics.cancelledStreams.add();
    publishStart(Refusal{400, "caller_closed", "The caller closed its side of the connection.",
                         m_plan.executed()});
    return std::nullopt;
}

bool StreamRelay::waitForAdmission()
{
    const Model *model = m_context->endpoints->configuration().model(m_request.model);
    const auto &states = m_context->endpoints->forModel(m_request.model);
    const bool anyTakesWork = std::any_of(states.begin(), states.end(), [](const auto &state) {
        return state->takesWork(steadyNow());
    });
    if (!anyTakesWork)
        return true;
    auto result =
            m_environment.load.admit(*m_context->account, m_context->priority, *model, states);
    auto *slot = std::get_if<AdmissionSlot>(&result);
    if (!slot)
        return false;
    m_slot.emplace(std::move(*slot));
    return true;
}

EndpointSet::StatePointer StreamRelay::choose()
{
    const auto &states = m_context->endpoints->forModel(m_request.model);
    return m_environment.node.placer->choose(m_placement, states, m_tried, steadyNow());
}

RelayStep StreamRelay::attempt(const AttemptRequest &request, bool mustStream,
                               std::chrono::milliseconds firstEventTimeout)
{
    const std::shared_ptr<AttemptRunner> runner = m_environment.makeAttempt();
    const SteadyTime limit = std::min(steadyNow() + firstEventTimeout, m_plan.requestDeadline());
    const auto deadline =
            m_environment.watch.start(limit, [weak = std::weak_ptr<AttemptRunner>(runner)] {
                if (const auto running = weak.lock())
                    running->cancel();
            });
    if (!beginAttempt(deadline)) {
        deadline->end();
        return AbandonRelay{};
    }
    AnswerReader reader(m_attemptId, mustStream, m_progress, *this);
    m_endpoint->requestStarted();
    m_slot.reset();
    const AttemptResult result = runner->run(request, reader);
    m_endpoint->requestEnded();
    deadline->end();
    AttemptReport report = reader.report(result);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_deadline.reset();
        if (m_cancelled && report.end != AttemptEnd::Complete)
            report.end = AttemptEnd::CallerGone;
    }
    recordOutcome(report, request.method == "GET");
    if (report.end == AttemptEnd::Complete && !report.streamed)
        relayPlain(reader);
    return m_plan.next(report, m_progress, steadyNow());
}

bool StreamRelay::beginAttempt(std::shared_ptr<Deadline> deadline)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_deadline = std::move(deadline);
    return !m_cancelled;
}

void StreamRelay::recordOutcome(const AttemptReport &report, bool resumed) const
{
    if (report.end == AttemptEnd::Complete)
        m_endpoint->succeeded();
    else if (isFailure(report.end) && !(resumed && report.end == AttemptEnd::Rejected))
        m_endpoint->failed(steadyNow());
}

AttemptRequest StreamRelay::completionRequest() const
{
    const Settings &settings = m_environment.node.settings;
    AttemptRequest request;
    request.address = m_endpoint->endpoint().address;
    request.method = m_context->method;
    request.path = m_context->path;
    request.body = m_context->body;
    request.contentType = "application/json";
    request.attemptId = m_attemptId;
    request.headers.push_back(
            {PriorityHeader, m_context->priority == Priority::High ? "high" : "low"});
    request.connectTimeout = settings.connectTimeout;
    request.readTimeout = settings.requestTimeout;
    request.unacknowledgedTimeout = settings.streamIdleTimeout;
    return request;
}

AttemptRequest StreamRelay::resumeRequest() const
{
    AttemptRequest request = completionRequest();
    request.method = "GET";
    request.path = "/v1/streams/" + m_attemptId;
    request.body.clear();
    request.contentType.clear();
    request.headers.push_back({LastEventIdHeader, std::to_string(m_progress.seen())});
    return request;
}

/// An answer that is not streamed arrives only after it has been computed completely, so only the
/// request timeout applies to it.
std::chrono::milliseconds StreamRelay::firstEventTimeout() const
{
    const Settings &settings = m_environment.node.settings;
    return m_request.stream ? settings.firstByteTimeout : settings.requestTimeout;
}

void StreamRelay::onAnswer(const AttemptHead &head)
{
    m_answer = RelayStart{head, m_endpoint->endpoint().name};
    recordHead(head);
}

void StreamRelay::onCrossedAnswer()
{
    m_environment.metrics.crossedAnswers.add();
}

void StreamRelay::onActivity()
{
    if (m_progress.seen() != 0)
        m_deadline->moveTo(std::min(steadyNow() + m_environment.node.settings.streamIdleTimeout,
                                    m_plan.requestDeadline()));
}

void StreamRelay::onVerdict(EventVerdict verdict)
{
    if (verdict == EventVerdict::Duplicate)
        m_environment.metrics.duplicates.add();
    if (verdict == EventVerdict::Gap)
        m_environment.metrics.gaps.add();
    const SteadyTime limit = steadyNow() + m_environment.node.settings.streamIdleTimeout;
    if (m_progress.seen() == 1 && verdict != EventVerdict::Duplicate)
        m_environment.watch.reschedule(m_deadline, std::min(limit, m_plan.requestDeadline()));
}

bool StreamRelay::relay(std::string event)
{
    if (m_progress.relayed() <= 1 && publishStart(m_answer))
        m_environment.metrics.timeToFirstToken.add(sinceArrival(*m_context));
    // The idle timeout of the endpoint must not expire while a slow caller blocks the channel.
    m_deadline->moveTo(m_plan.requestDeadline());
    const bool taken = m_channel.push(std::move(event), steadyNow());
    onActivity();
    return taken;
}

void StreamRelay::relayPlain(const AnswerReader &reader)
{
    m_environment.metrics.timeToFirstToken.add(sinceArrival(*m_context));
    publishStart(m_answer);
    m_channel.push(reader.plainBody(), steadyNow());
}

void StreamRelay::recordHead(const AttemptHead &head)
{
    m_endpoint->setIncarnation(head.incarnation);
    m_endpoint->setWeightsHash(head.weightsHash);
    if (head.hasLoad)
        m_endpoint->reportLoad(head.load, std::nullopt, steadyNow());
    const PlacementOutcome outcome{
            m_endpoint->nameHash(),
            EndpointState::cacheIncarnationOf(head.incarnation, head.weightsHash),
            head.cachedTokens, static_cast<std::uint32_t>(m_request.prompt.size() / BytesPerToken)};
    m_environment.node.placer->observe(m_placement, outcome, steadyNow());
}

void StreamRelay::cancelComputation()
{
    if (m_attemptId.empty())
        return;
    m_environment.cancels.add(m_endpoint->endpoint().address, m_attemptId);
    m_attemptId.clear();
}

bool StreamRelay::waitUnlessCancelled(std::chrono::milliseconds delay)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    return !m_changed.wait_for(lock, delay, [this] { return m_cancelled; });
}

bool StreamRelay::started()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_start.has_value();
}

bool StreamRelay::publishStart(std::variant<RelayStart, Refusal> start)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_start)
        return false;
    m_start = std::move(start);
    m_changed.notify_all();
    return true;
}

} // namespace almondmill
