// Bodies in a transfer coding that isn't known, which hold the text of a request: does a server run
// what no client sent?

#include "casesetup.h"
#include "channel.h"
#include "deployment.h"
#include "record.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <set>
#include <vector>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr milliseconds Timeout{2500};

Channel::Time inTime()
{
    return std::chrono::steady_clock::now() + Timeout;
}

/// The payload of a client's request: a text that looks like a request.
std::string payloadOf(int number)
{
    return "POST /booking/never-asked-for HTTP/1.1\r\n"
           + commonFields("inside-" + std::to_string(number), 1500) + "Content-Length: 0\r\n\r\n";
}

std::string chunkedOf(const std::string &payload)
{
    char size[16];
    (void)std::snprintf(size, sizeof(size), "%zx", payload.size());
    return std::string(size) + "\r\n" + payload + "\r\n0\r\n\r\n";
}

std::string post(const std::string &id, const std::string &coding)
{
    return "POST /booking/slot HTTP/1.1\r\n" + commonFields(id, 1500)
           + "Transfer-Encoding: " + coding + "\r\n\r\n";
}

/// What a request got, and for which request that is.
std::string lineOf(const std::string &id, const std::optional<HttpMessage> &answer)
{
    std::string line = id;
    line += " gets ";
    line += answer ? answer->startLine : "no answer";
    if (answer)
        line.append(", for ").append(answer->field("Request-Id"));
    return line;
}

int run(Deployment &deployment, Record &record)
{
    if (!deployment.waitUntilReady())
        return NotRun;
    const bool trouble = hasTrouble();
    const std::vector<std::string> codings{"gzip", "identity", "chunked, identity", "x-packed"};
    std::set<std::string> sent;
    int foreign = 0;
    for (std::size_t at = 0; at < codings.size(); ++at) {
        const int number = static_cast<int>(at);
        const std::string outer = "outer-" + std::to_string(number);
        const std::string next = "next-" + std::to_string(number);
        const std::string coding = trouble ? codings[at] : "chunked";
        const std::string payload = payloadOf(number);
        Channel channel = Channel::connect(deployment.router(number % 2).callers(), Timeout);
        sent.insert(outer);
        channel.send(post(outer, coding) + (trouble ? payload : chunkedOf(payload)), inTime());
        record.write("a body in the transfer coding " + coding);
        const auto first = channel.readMessage(inTime());
        record.write(lineOf(outer, first));
        if (!first || first->field("Connection") == "close")
            continue;
        // The next request of a caller behind the same kept channel.
        sent.insert(next);
        channel.send("POST /booking/slot HTTP/1.1\r\n" + commonFields(next, 1500)
                             + "Content-Length: 0\r\n\r\n",
                     inTime());
        const auto second = channel.readMessage(inTime());
        const std::string id = second ? second->field("Request-Id") : std::string();
        record.write(lineOf(next, second));
        if (second && id != next)
            ++foreign;
    }
    int unasked = 0;
    for (const Endpoint::Run &ran : deployment.runs()) {
        if (sent.contains(ran.id))
            continue;
        ++unasked;
        record.write("no client sent " + ran.id + ", and it ran: " + ran.method + " " + ran.target);
    }
    record.write(std::to_string(unasked) + " requests ran that no client sent; "
                 + std::to_string(foreign) + " answers belong to another request");
    return unasked == 0 && foreign == 0 ? RuleHeld : RuleBroken;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return NotRun;
    Record record(argv[1]);
    Deployment deployment(record, {.routers = 2});
    const int result = run(deployment, record);
    record.write("exit " + std::to_string(result));
    deployment.exit(result);
}
