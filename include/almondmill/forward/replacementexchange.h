#pragma once

#include "almondmill/forward/endpointexchange.h"
#include "almondmill/kernel/time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace almondmill {

class EndpointView;
class WireCodec;

/// The connection for the next attempt of a request, opened while the current attempt still waits
/// for its silent endpoint. Must be used only on the event loop.
class ReplacementExchange
{
public:
    using Callback = std::function<void(ExchangeError)>;

    ReplacementExchange() = default;
    ~ReplacementExchange() { drop(); }
    ReplacementExchange(const ReplacementExchange &) = delete;
    ReplacementExchange &operator=(const ReplacementExchange &) = delete;

    /// Opens a connection to the endpoint before `deadline`. `onEnd` is called with the result
    /// unless the exchange is dropped before.
    void open(std::shared_ptr<EndpointView> endpoint, const WireCodec &codec,
              const boost::asio::any_io_executor &executor, SteadyTime deadline, Callback onEnd);

    /// Whether an exchange is being opened, or is open and was neither taken nor dropped.
    bool exists() const { return m_opening != nullptr; }

    /// Requires `exists()`.
    EndpointExchange &exchange() const;

    /// Hands the exchange over. Requires `exists()`.
    std::shared_ptr<EndpointExchange> take();

    void drop();

private:
    struct Opening;

    std::shared_ptr<Opening> m_opening;
};

} // namespace almondmill
