#pragma once

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <vector>

namespace almondmill {

class AsyncStore;
struct ForwardingContext;
struct RegisteredPeer;

/// Registers this router in the platform's store and lists the routers that are registered there.
/// Calls that the store does not answer are repeated. Must be used on the event loop only.
class PeerDiscovery
{
public:
    /// Called with each list, which includes this router.
    using ListHandler = std::function<void(const std::vector<RegisteredPeer> &)>;

    PeerDiscovery(ForwardingContext &context, AsyncStore &store, ListHandler onList);

    /// Registers this router and lists the others twice. Ends after the second list.
    boost::asio::awaitable<void> run();

    /// Lists the routers that are registered at this time, before the first planned list, if the
    /// store answers.
    void listEarly();

private:
    template<typename Result>
    using Awaitable = boost::asio::awaitable<Result>;

    Awaitable<void> registerUntilAnswered();
    Awaitable<void> listPeersUntilAnswered();
    /// Returns false when the store gave no answer.
    Awaitable<bool> registerSelf();
    /// Returns false when the store gave no answer.
    Awaitable<bool> listPeers();

    ForwardingContext &m_context;
    AsyncStore &m_store;
    ListHandler m_onList;
};

} // namespace almondmill
