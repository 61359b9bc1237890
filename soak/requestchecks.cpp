// Checks that hold at any time, also during faults.

#include "checks.h"

#include "standins/rietwerk/answertext.h"

#include <absl/strings/str_cat.h>

#include <map>
#include <set>

namespace almondmill::soak {

namespace {

using Runs = std::vector<const RequestRun *>;

constexpr unsigned Ok = 200;

/// Statuses which guarantee that a request was not and will not be executed.
const std::set<unsigned> NotExecutedStatuses{408, 421, 429, 503};

/// Collects the violations of one request and its runs.
class RequestCheck
{
public:
    RequestCheck(const Attempt &attempt, const Runs &runs, const SoakHistory &history,
                 std::vector<Violation> &violations)
        : m_attempt(attempt)
        , m_runs(runs)
        , m_history(history)
        , m_violations(violations)
    {}

    void checkAll()
    {
        checkAtMostOnce();
        checkRefusal();
        for (const RequestRun *run : m_runs)
            checkRun(*run);
        if (m_attempt.status >= Ok && m_attempt.status < 300)
            checkAnswer();
    }

private:
    void add(const std::string &check, const std::string &text)
    {
        m_violations.push_back(
                {check, absl::StrCat("request ", m_attempt.id, " ", m_attempt.path, " at ",
                                     routerName(m_attempt.router), ": ", text)});
    }

    void checkAtMostOnce()
    {
        if (!isRetryable(m_attempt.kind) && m_runs.size() > 1)
            add("at-most-once",
                absl::StrCat("executed ", m_runs.size(), " times, expected at most once"));
    }

    void checkRefusal()
    {
        const bool refused = NotExecutedStatuses.contains(m_attempt.status);
        if (refused && !isRetryable(m_attempt.kind) && !m_runs.empty())
            add("true-refusal",
                absl::StrCat("answered ", m_attempt.status, " (not executed), but was executed"));
    }

    void checkRun(const RequestRun &run)
    {
        if (run.path != m_attempt.path
            || run.body.compare(0, m_attempt.expectedBody.size(), m_attempt.expectedBody) != 0)
            add("unchanged-request",
                absl::StrCat("reached the endpoint as '", run.path, "' '", run.body,
                             "'; expected '", m_attempt.expectedBody, "'"));
        if (run.hasForgedHeaders)
            add("no-foreign-headers",
                "headers reserved for the router were forwarded from the caller");
        if (!wasServiceEverAllowed(run))
            add("allowed-service", absl::StrCat("executed by service '", run.service,
                                                "', which no configuration assigned to the path"));
        if (!wasKeyEverHeld(run))
            add("own-account", absl::StrCat("executed for account '", run.account,
                                            "', which never held the caller's key"));
    }

    bool wasServiceEverAllowed(const RequestRun &run) const
    {
        for (const ConfigurationChange &change : m_history.configurations) {
            if (change.configuration.serviceFor(m_attempt.path) == run.service)
                return true;
        }
        return false;
    }

    bool wasKeyEverHeld(const RequestRun &run) const
    {
        for (const ConfigurationChange &change : m_history.configurations) {
            if (change.configuration.accountOf(m_attempt.key) == run.account)
                return true;
        }
        return false;
    }

    void checkAnswer()
    {
        bool hasValidSignature = false;
        for (const RequestRun *run : m_runs) {
            hasValidSignature |= m_attempt.signature
                                 == standin::rietwerk::signatureOf(run->endpoint, m_attempt.id);
        }
        if (!hasValidSignature)
            add("own-answer", absl::StrCat("signature '", m_attempt.signature,
                                           "' matches none of the request's runs"));
        if (isStream(m_attempt.kind))
            checkEvents();
        else if (m_attempt.isComplete)
            checkBody();
    }

    void checkBody()
    {
        const std::string &body = m_attempt.body;
        if (body.compare(0, m_attempt.expectedBody.size(), m_attempt.expectedBody) != 0
            || body.empty() || body.back() != '\n')
            add("own-answer",
                absl::StrCat("got body '", body, "', expected it to start with '",
                             m_attempt.expectedBody, "' and to end with a line feed"));
    }

    void checkEvents()
    {
        const std::string events = withoutWeightVersions(m_attempt.body);
        std::string expected;
        for (std::uint64_t number = 1; number <= m_attempt.requestedEvents; ++number)
            expected += standin::rietwerk::eventFor(m_attempt.id, number);
        if (expected.compare(0, events.size(), events) != 0)
            add("events-in-order",
                absl::StrCat("got events '", events, "', expected a prefix of '", expected, "'"));
        else if (m_attempt.isComplete && events.size() != expected.size())
            add("events-in-order", absl::StrCat("stream ended as complete after ", events.size(),
                                                " of ", expected.size(), " bytes of events"));
    }

    /// The events without the lines that announce a change of the weights' version.
    static std::string withoutWeightVersions(const std::string &events)
    {
        constexpr std::string_view Marker = "weight-versions: ";
        std::string rest = events;
        for (auto at = rest.find(Marker); at != std::string::npos; at = rest.find(Marker))
            rest.erase(at, rest.find('\n', at) + 1 - at);
        return rest;
    }

    const Attempt &m_attempt;
    const Runs &m_runs;
    const SoakHistory &m_history;
    std::vector<Violation> &m_violations;
};

} // namespace

std::vector<Violation> checkRequests(const SoakHistory &history)
{
    std::vector<Violation> violations;
    std::map<std::string, Runs> runs = history.runsByRequest();
    std::set<std::string> sent;
    for (const Attempt &attempt : history.attempts) {
        sent.insert(attempt.id);
        RequestCheck(attempt, runs[attempt.id], history, violations).checkAll();
    }
    for (const RequestRun &run : history.runs) {
        if (!sent.contains(run.requestId))
            violations.push_back(
                    {"asked-for", absl::StrCat(run.endpoint, " executed request '", run.requestId,
                                               "' that no caller sent")});
    }
    return violations;
}

} // namespace almondmill::soak
