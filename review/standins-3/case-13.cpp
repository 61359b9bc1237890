// Many clients whose bodies stop short of their end and stay open, with heads of legal size: does
// the router stay within the memory of its machine?

#include "casesetup.h"
#include "channel.h"
#include "deployment.h"
#include "record.h"

#include <algorithm>
#include <cstdio>
#include <thread>
#include <vector>

namespace {

using namespace review;
using std::chrono::milliseconds;

/// A machine of the small installation of Rietwerk.
constexpr int MachineMegabytes = 96;
constexpr std::size_t BytesPerMegabyte = 1000000;

constexpr int Clients = 1200;
constexpr int ClientAddresses = 200;
constexpr milliseconds TimeBetweenClients{3};
constexpr milliseconds WatchedTime{8000};
constexpr milliseconds WatchInterval{200};
constexpr milliseconds Timeout{5000};

/// Parts of a prompt in one head, which stays below `max_header_bytes`.
constexpr int PromptParts = 3800;

std::string headOf(int client)
{
    std::string parts;
    for (int part = 0; part < PromptParts; ++part)
        parts += (part == 0 ? "" : ",") + std::string(1, "0123456789abcdef"[part % 16]) + ":1";
    return "POST /verdict/history HTTP/1.1\r\n"
           + commonFields("client-" + std::to_string(client), 5000) + "Model: reed\r\nToken-Usage: "
           + std::to_string(PromptParts) + ",1\r\nPrompt-Prefix: " + parts + "\r\n";
}

/// The end of the head and what is sent of a body of one byte: in trouble, that byte is missing.
std::string bodyOf(int client, bool trouble)
{
    const bool isChunked = client % 2 == 1;
    std::string begin =
            isChunked ? "Transfer-Encoding: chunked\r\n\r\n1\r\n" : "Content-Length: 1\r\n\r\n";
    if (trouble)
        return begin;
    return begin + (isChunked ? "x\r\n0\r\n\r\n" : "x");
}

Channel::Time inTime()
{
    return std::chrono::steady_clock::now() + Timeout;
}

bool isServed(RouterProcess &router, Record &record)
{
    Channel channel = Channel::connect(router.callers(), Timeout);
    if (!channel.isOpen())
        return false;
    channel.send("POST /booking/slot HTTP/1.1\r\n" + commonFields("ordinary", 1500)
                         + "Content-Length: 0\r\n\r\n",
                 inTime());
    const auto answer = channel.readMessage(inTime());
    record.write("the ordinary request gets "
                 + (answer ? answer->startLine : std::string("no answer")));
    return answer && answer->status() == 200;
}

int run(Deployment &deployment, Record &record)
{
    if (!deployment.waitUntilReady())
        return NotRun;
    const bool trouble = hasTrouble();
    RouterProcess &router = deployment.router(0);
    const std::size_t before = router.anonymousMemory();
    record.write("memory before: " + std::to_string(before) + " bytes; a head has "
                 + std::to_string(headOf(0).size()) + " bytes");
    std::vector<Channel> clients;
    int answered = 0;
    for (int client = 0; client < Clients; ++client) {
        const std::string from = "127.0.2." + std::to_string(1 + client % ClientAddresses);
        clients.push_back(Channel::connect(router.callers(), Timeout, from));
        clients.back().send(headOf(client) + bodyOf(client, trouble), inTime());
        std::this_thread::sleep_for(TimeBetweenClients);
    }
    for (Channel &client : clients) {
        if (!trouble && client.readMessage(inTime()))
            ++answered;
    }
    record.write(std::to_string(Clients) + " clients have sent their heads, "
                 + (trouble ? "each body lacks its one byte"
                            : std::to_string(answered) + " were answered"));
    std::size_t most = 0;
    const auto end = std::chrono::steady_clock::now() + WatchedTime;
    while (std::chrono::steady_clock::now() < end) {
        most = std::max(most, router.anonymousMemory());
        std::this_thread::sleep_for(WatchInterval);
    }
    record.write("most memory: " + std::to_string(most) + " bytes of "
                 + std::to_string(MachineMegabytes * BytesPerMegabyte));
    const bool isAlive = router.isRunning();
    const bool isWithinMemory = most <= MachineMegabytes * BytesPerMegabyte;
    const bool served = isServed(router, record);
    record.write(std::string("the process ") + (isAlive ? "runs" : "has ended"));
    return isAlive && isWithinMemory && served ? RuleHeld : RuleBroken;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return NotRun;
    Record record(argv[1]);
    Deployment deployment(record, {.routers = 1, .memoryMb = MachineMegabytes});
    const int result = run(deployment, record);
    record.write("exit " + std::to_string(result));
    deployment.exit(result);
}
