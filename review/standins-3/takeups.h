#pragma once

#include "channel.h"
#include "record.h"

#include <string>
#include <vector>

namespace review {

class RouterProcess;

/// Streams that clients begin, lose and take up again, and what the rule on them says.
class TakeUps
{
public:
    explicit TakeUps(Record &record);

    /// Begins a stream at the router.
    void begin(RouterProcess &router);

    /// Reads the streams until each has an event. Returns how many have begun.
    int readFirstEvents();

    /// Ends the clients' side of all channels and takes the streams that had begun up again, each
    /// at the next of the routers; begins as many new streams beside them. A client that is refused
    /// comes back once after the time that it was told.
    void takeUp(const std::vector<RouterProcess *> &routers);

    /// Whether the share of the streams that go on is under half of the share of the new streams
    /// that begin, of at least twelve.
    bool isRuleBroken() const;

private:
    struct Stream
    {
        std::string id;
        Channel channel;
        int lastEvent = 0;
    };

    static bool send(Channel &channel, const std::string &id, const std::string &fields);
    int attempt(RouterProcess &router, const std::string &id, const std::string &fields,
                std::string *retryAfter) const;
    bool goesOn(const Stream &stream, RouterProcess &router) const;

    Record &m_record;
    std::vector<Stream> m_streams;
    int m_takenUp = 0;
    int m_goneOn = 0;
    int m_new = 0;
    int m_begun = 0;
};

} // namespace review
