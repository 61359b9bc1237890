#include "spawn.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>

namespace almondmill::standin {

void spawn(boost::asio::io_context &loop, boost::asio::awaitable<void> coroutine)
{
    boost::asio::co_spawn(loop, std::move(coroutine), [](const std::exception_ptr &exception) {
        if (exception)
            std::rethrow_exception(exception);
    });
}

} // namespace almondmill::standin
