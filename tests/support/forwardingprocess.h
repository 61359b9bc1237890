#pragma once

#include "support/childprocess.h"

#include "standins/rietwerk/endpointobserver.h"
#include "standins/rietwerk/metadataserver.h"
#include "standins/rietwerk/registeredendpoint.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace almondmill::test {

/// A forwarding router in a process of its own, before stand-ins of the metadata store and of one
/// endpoint, which run in this process.
class ForwardingProcess
{
public:
    struct Limits
    {
        std::uint32_t memoryMb = 0;
        std::uint32_t descriptors = 0;
    };

    /// An entry of another writer among those of the endpoints.
    struct ForeignEntry
    {
        std::string name;
        nlohmann::json spec;
    };
    using ForeignEntries = std::vector<ForeignEntry>;

    /// The store returns its lists in pages of one object when there are foreign entries.
    explicit ForwardingProcess(const Limits &limits, const ForeignEntries &foreign = {});
    ~ForwardingProcess();
    ForwardingProcess(const ForwardingProcess &) = delete;
    ForwardingProcess &operator=(const ForwardingProcess &) = delete;

    std::string callersUrl() const { return "http://" + m_address + ":8100"; }
    ChildProcess &process() { return *m_process; }

    /// Creates or replaces entries of another writer.
    void put(const ForeignEntries &entries);

    /// Keeps a copy of the store's contents.
    void copyStore();

    /// Returns the store to that copy, as in a drill of the platform.
    void returnStoreToCopy();

    /// Ends the endpoint without a word and starts one with another id at another address.
    void replaceEndpoint();

    /// Blocks until a request is answered. Returns false after the limit of `waitUntil`.
    bool waitUntilServing();

    /// Sends a request with a body of that size on a new connection; returns the status of the
    /// answer, or zero without one.
    int request(std::size_t bodyBytes = 2) const;

    /// Head of a request for a repeatable operation, up to and including the line of its key.
    static std::string headStart();

private:
    class Observer;

    void start(bool withMemoryLimit);
    void startEndpoint();
    void onLoop(const std::function<void()> &task);

    /// Entries that nobody renews must not expire.
    void putUnexpiring(const ForeignEntries &entries);

    Limits m_limits;
    std::string m_address;
    std::string m_settingsFile;
    boost::asio::io_context m_loop;
    standin::rietwerk::MetadataServer m_store;
    std::unique_ptr<Observer> m_observer;
    standin::rietwerk::MetadataStore::Copy m_copy;
    /// The last one serves; the ones before it have crashed.
    std::vector<std::unique_ptr<standin::rietwerk::RegisteredEndpoint>> m_endpoints;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace almondmill::test
