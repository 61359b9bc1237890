// Checks that hold at any time, whatever is disturbed.

#include "checks.h"

#include "standins/rietwerk/answertext.h"

#include <absl/strings/str_cat.h>

#include <map>
#include <set>

namespace almondmill::soak {

namespace {

using Runs = std::vector<const RequestRun *>;

constexpr unsigned Ok = 200;

/// Statuses that promise that a request has not run and will not.
const std::set<unsigned> NotRunStatuses{408, 421, 429, 503};

/// Collects what is wrong with one request and its runs.
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

    void all()
    {
        checkRepetition();
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

    void checkRepetition()
    {
        if (!mayRunAgain(m_attempt.kind) && m_runs.size() > 1)
            add("at-most-once", absl::StrCat("ran ", m_runs.size(), " times"));
    }

    void checkRefusal()
    {
        const bool refused = NotRunStatuses.contains(m_attempt.status);
        if (refused && !mayRunAgain(m_attempt.kind) && !m_runs.empty())
            add("true-refusal", absl::StrCat("answered ", m_attempt.status, " and ran"));
    }

    void checkRun(const RequestRun &run)
    {
        if (run.path != m_attempt.path
            || run.body.compare(0, m_attempt.expectedBody.size(), m_attempt.expectedBody) != 0)
            add("unchanged-request", absl::StrCat("arrived as ", run.body));
        if (run.hasForeignHeaders)
            add("no-foreign-headers", "headers of the router's own came through from the caller");
        if (!wasEverAllowed(run))
            add("allowed-service", absl::StrCat("ran at service ", run.service));
        if (!wasEverHeld(run))
            add("own-account", absl::StrCat("ran for account '", run.account, "'"));
    }

    bool wasEverAllowed(const RequestRun &run) const
    {
        for (const ConfigurationChange &change : m_history.configurations) {
            if (change.configuration.serviceFor(m_attempt.path) == run.service)
                return true;
        }
        return false;
    }

    bool wasEverHeld(const RequestRun &run) const
    {
        for (const ConfigurationChange &change : m_history.configurations) {
            if (change.configuration.accountOf(m_attempt.key) == run.account)
                return true;
        }
        return false;
    }

    void checkAnswer()
    {
        bool isProven = false;
        for (const RequestRun *run : m_runs) {
            isProven |= m_attempt.signature
                        == standin::rietwerk::signatureOf(run->endpoint, m_attempt.id);
        }
        if (!isProven)
            add("own-answer", absl::StrCat("signature '", m_attempt.signature, "'"));
        if (isStream(m_attempt.kind))
            checkEvents();
        else if (m_attempt.isWhole)
            checkBody();
    }

    void checkBody()
    {
        const std::string &body = m_attempt.body;
        if (body.compare(0, m_attempt.expectedBody.size(), m_attempt.expectedBody) != 0
            || body.empty() || body.back() != '\n')
            add("own-answer", absl::StrCat("body '", body, "'"));
    }

    void checkEvents()
    {
        const std::string events = withoutVersions(m_attempt.body);
        std::string expected;
        for (std::uint64_t number = 1; number <= m_attempt.eventsAsked; ++number)
            expected += standin::rietwerk::eventFor(m_attempt.id, number);
        if (expected.compare(0, events.size(), events) != 0)
            add("events-in-order", absl::StrCat("got ", events));
        else if (m_attempt.isWhole && events.size() != expected.size())
            add("events-in-order", "the stream ends as complete before its last event");
    }

    /// Events without the line that names a change of weights.
    static std::string withoutVersions(const std::string &events)
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
        RequestCheck(attempt, runs[attempt.id], history, violations).all();
    }
    for (const RequestRun &run : history.runs) {
        if (!sent.contains(run.requestId))
            violations.push_back(
                    {"asked-for", absl::StrCat(run.endpoint, " ran request '", run.requestId,
                                               "' that no caller sent")});
    }
    return violations;
}

} // namespace almondmill::soak
