#pragma once

#include "httpmessage.h"
#include "listener.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

class Channel;
class MetadataStore;
class Record;

/// What an endpoint is.
struct EndpointPlan
{
    std::string id;
    std::string service;
    std::string address; ///< "IP:port".
    std::string model;   ///< Empty for a plain service.
    std::chrono::milliseconds work{30};
    std::chrono::milliseconds eventGap{100};
    int slots = 48;

    /// Part of a prompt on which the endpoint crashes as it begins to write an answer; empty for
    /// none.
    std::string crashingPart;

    /// It crashes before the first event, not right after it.
    bool crashesEarly = false;

    /// Time until a crashed endpoint is back.
    std::chrono::milliseconds restartTime{4000};
};

/// Stand-in for a sound endpoint: it is registered, writes its heartbeat, runs every request that
/// is meant for it, and drops one whose connection closes. A model's answers are streams of events.
class Endpoint
{
public:
    /// A request that began to run.
    struct Run
    {
        std::string id;
        std::string method;
        std::string target;
        std::string body;
        std::string parts; ///< The parts of the prompt.
        std::chrono::steady_clock::time_point at;
    };

    Endpoint(EndpointPlan plan, MetadataStore &store, Record &record);
    ~Endpoint();

    std::vector<Run> runs() const;

    /// The times of its crashes.
    std::vector<std::chrono::steady_clock::time_point> crashes() const;

private:
    void serve(Channel &channel);
    bool handle(const HttpMessage &request, Channel &channel);
    bool sendStream(const HttpMessage &request, Channel &channel);
    void keepRegistered();
    std::string id() const;
    void crash();
    void restart();
    void listen();

    EndpointPlan m_plan;
    MetadataStore &m_store;
    Record &m_record;
    std::atomic<bool> m_stopping{false};
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::vector<std::chrono::steady_clock::time_point> m_crashes;
    std::set<Channel *> m_channels; ///< Open connections.
    int m_lifetime = 1;
    bool m_isDown = false;
    std::chrono::milliseconds m_born;
    std::unique_ptr<Listener> m_listener;
    std::thread m_heartbeats;
};

} // namespace review
