#include "takeups.h"

#include "casesetup.h"
#include "routerprocess.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {

namespace {

using std::chrono::milliseconds;

constexpr int StreamDeadlineMs = 5000;

/// What clients have left when they take a stream up again.
constexpr int LeftMs = 4000;

constexpr int Events = 40;
constexpr milliseconds EventTimeout{1500};
constexpr milliseconds ConnectTimeout{1000};
constexpr int LeastStreams = 12;

/// Clients wait as they are told, for a third of the time that they have left at most.
constexpr double LongestReturnSeconds = LeftMs / 3000.0;

Channel::Time inTime()
{
    return std::chrono::steady_clock::now() + EventTimeout;
}

/// The id of the first event in a piece of a stream; 0 when there is none.
int eventIn(const std::string &text)
{
    const auto at = text.find("id: ");
    return at == std::string::npos ? 0 : std::atoi(text.c_str() + at + 4);
}

} // namespace

TakeUps::TakeUps(Record &record)
    : m_record(record)
{}

bool TakeUps::send(Channel &channel, const std::string &id, const std::string &fields)
{
    return channel.send("POST /verdict/history HTTP/1.1\r\n" + fields
                                + "Model: reed\r\nToken-Usage: 200," + std::to_string(Events)
                                + "\r\nPrompt-Prefix: 5c1e07a2:100," + id
                                + ":100\r\nContent-Length: 0\r\n\r\n",
                        inTime());
}

void TakeUps::begin(RouterProcess &router)
{
    Stream stream;
    // Parts of prompts are hexadecimal, and so is this id, which names the request's own part too.
    stream.id = "a" + std::to_string(1000 + m_streams.size());
    stream.channel = Channel::connect(router.callers(), ConnectTimeout);
    send(stream.channel, stream.id, commonFields(stream.id, StreamDeadlineMs));
    m_streams.push_back(std::move(stream));
}

int TakeUps::readFirstEvents()
{
    int begun = 0;
    for (Stream &stream : m_streams) {
        const auto head = stream.channel.readHead(inTime());
        if (!head || head->status() != 200)
            continue;
        while (eventIn(stream.channel.buffer()) == 0 && stream.channel.readSome(inTime())) {
        }
        stream.lastEvent = eventIn(stream.channel.buffer());
        begun += stream.lastEvent > 0 ? 1 : 0;
    }
    m_record.write(std::to_string(begun) + " streams have begun");
    return begun;
}

int TakeUps::attempt(RouterProcess &router, const std::string &id, const std::string &fields,
                     std::string *retryAfter) const
{
    Channel channel = Channel::connect(router.callers(), ConnectTimeout);
    if (!channel.isOpen() || !send(channel, id, fields))
        return 0;
    const auto head = channel.readHead(inTime());
    if (!head)
        return 0;
    if (retryAfter)
        *retryAfter = head->field("Retry-After");
    if (head->status() != 200)
        return head->status();
    while (eventIn(channel.buffer()) == 0 && channel.readSome(inTime())) {
    }
    return eventIn(channel.buffer()) > 0 ? 200 : 0;
}

bool TakeUps::goesOn(const Stream &stream, RouterProcess &router) const
{
    for (int attempted = 1; attempted <= 2; ++attempted) {
        const std::string id = stream.id + std::to_string(attempted);
        std::string retryAfter;
        const int status = attempt(router, id,
                                   commonFields(id, LeftMs)
                                           + "Last-Event-Id: " + std::to_string(stream.lastEvent)
                                           + "\r\nResumes: " + stream.id + "\r\n",
                                   &retryAfter);
        m_record.write("stream " + stream.id + " is taken up after event "
                       + std::to_string(stream.lastEvent) + " at " + router.name() + ": "
                       + std::to_string(status)
                       + (retryAfter.empty() ? "" : ", Retry-After " + retryAfter));
        const double seconds = std::atof(retryAfter.c_str());
        if (status == 200 || seconds <= 0 || seconds > LongestReturnSeconds)
            return status == 200;
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
    return false;
}

void TakeUps::takeUp(const std::vector<RouterProcess *> &routers)
{
    std::vector<std::thread> clients;
    std::atomic<int> goneOn{0};
    std::atomic<int> begun{0};
    for (Stream &stream : m_streams) {
        stream.channel.close();
        if (stream.lastEvent == 0)
            continue;
        RouterProcess &router = *routers[static_cast<std::size_t>(m_takenUp) % routers.size()];
        ++m_takenUp;
        ++m_new;
        clients.emplace_back([&] { goneOn += goesOn(stream, router) ? 1 : 0; });
        clients.emplace_back([this, &begun, &router, id = "b" + stream.id] {
            const int status = attempt(router, id, commonFields(id, StreamDeadlineMs), nullptr);
            m_record.write("new stream " + id + " at " + router.name() + ": "
                           + std::to_string(status));
            begun += status == 200 ? 1 : 0;
        });
    }
    for (std::thread &client : clients)
        client.join();
    m_goneOn = goneOn;
    m_begun = begun;
    m_record.write(std::to_string(m_goneOn) + " of " + std::to_string(m_takenUp)
                   + " streams that were taken up go on; " + std::to_string(m_begun) + " of "
                   + std::to_string(m_new) + " new ones begin");
}

bool TakeUps::isRuleBroken() const
{
    if (m_takenUp < LeastStreams || m_new == 0)
        return false;
    const double goesOnShare = double(m_goneOn) / m_takenUp;
    const double beginsShare = double(m_begun) / m_new;
    return goesOnShare < beginsShare / 2;
}

} // namespace review
