#include "almondmill/forward/replacementexchange.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <utility>

namespace almondmill {

/// Lives until the connection attempt has ended, also when the exchange is dropped before.
struct ReplacementExchange::Opening
{
    std::shared_ptr<EndpointExchange> exchange;
    Callback onEnd; ///< Empty once the exchange was dropped.
};

void ReplacementExchange::open(std::shared_ptr<EndpointView> endpoint, const WireCodec &codec,
                               const boost::asio::any_io_executor &executor, SteadyTime deadline,
                               Callback onEnd)
{
    drop();
    m_opening = std::make_shared<Opening>();
    m_opening->exchange = std::make_shared<EndpointExchange>(std::move(endpoint), codec);
    m_opening->onEnd = std::move(onEnd);
    boost::asio::co_spawn(
            executor, m_opening->exchange->connect(executor, deadline),
            [opening = m_opening](const std::exception_ptr &failure, ExchangeError error) {
                const Callback end = std::exchange(opening->onEnd, nullptr);
                if (end)
                    end(failure ? ExchangeError::ConnectFailed : error);
            });
}

EndpointExchange &ReplacementExchange::exchange() const
{
    return *m_opening->exchange;
}

std::shared_ptr<EndpointExchange> ReplacementExchange::take()
{
    return std::exchange(m_opening, nullptr)->exchange;
}

void ReplacementExchange::drop()
{
    const auto opening = std::exchange(m_opening, nullptr);
    if (!opening)
        return;
    opening->onEnd = nullptr;
    opening->exchange->cancel();
}

} // namespace almondmill
