#include "almondmill/http/asyncsleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace almondmill {

namespace asio = boost::asio;

asio::awaitable<void> sleepFor(asio::io_context &loop, std::chrono::milliseconds pause)
{
    asio::steady_timer timer(loop, pause);
    boost::system::error_code ignored; // Nothing cancels the timer while the loop runs.
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace almondmill
