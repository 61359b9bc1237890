#pragma once

#include "almondmill/endpoint/attempthead.h"
#include "almondmill/endpoint/endpointset.h"
#include "almondmill/placement/placementrequest.h"
#include "almondmill/request/eventchannel.h"
#include "almondmill/request/modelrequest.h"
#include "almondmill/request/refusal.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace almondmill {

class Attempt;
struct Node;
struct RequestContext;

/// What the caller may be told once the first endpoint answered.
struct RelayStart
{
    AttemptHead head;
    std::string endpoint;
};

/// Serves one completion: sends it to an endpoint on a thread of its own, goes on at another where
/// that repeats nothing, and hands the answer over through a bounded channel.
class StreamRelay
{
public:
    StreamRelay(Node &node, std::shared_ptr<const RequestContext> context, ModelRequest request);
    ~StreamRelay();
    StreamRelay(const StreamRelay &) = delete;
    StreamRelay &operator=(const StreamRelay &) = delete;

    void start();

    /// Blocks until an endpoint answered or the request is refused.
    std::variant<RelayStart, Refusal> waitForStart();

    /// The next bytes for the caller; nothing at the end.
    std::optional<std::string> nextBytes() { return m_channel.pop(); }

    /// The caller went away: the endpoint's work is cancelled.
    void cancel();

private:
    class Observer;

    void run();
    bool attemptOnce();
    EndpointSet::StatePointer choose();
    void publishStart(std::variant<RelayStart, Refusal> start);
    void endWithError(const std::string &reason);

    Node &m_node;
    std::shared_ptr<const RequestContext> m_context;
    ModelRequest m_request;
    PlacementRequest m_placement;
    EventChannel m_channel;
    std::set<std::string> m_tried;
    std::unique_ptr<Attempt> m_attempt;
    bool m_cancelled = false;
    bool m_started = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<std::variant<RelayStart, Refusal>> m_start;
    std::thread m_thread;
};

} // namespace almondmill
