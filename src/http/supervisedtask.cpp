#include "almondmill/http/supervisedtask.h"

#include "almondmill/http/asyncsleep.h"
#include "almondmill/observe/eventline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <exception>
#include <memory>

namespace almondmill {

namespace asio = boost::asio;

namespace {

/// Pause before a failed task is started again; bounds the log when it fails every time.
constexpr std::chrono::milliseconds RestartDelay{200};

/// A task and what it needs to be started again.
struct SupervisedTask
{
    asio::io_context &loop;
    std::string name;
    std::function<asio::awaitable<void>()> run;
};

/// Returns whether the task ended without an exception.
asio::awaitable<bool> runOnce(const SupervisedTask &task)
{
    try {
        co_await task.run();
        co_return true;
    } catch (const std::exception &error) {
        EventLine("task.failed").add("task", task.name).add("reason", error.what());
        co_return false;
    }
}

asio::awaitable<void> runUntilEnd(std::shared_ptr<const SupervisedTask> task)
{
    for (;;) {
        const bool hasEnded = co_await runOnce(*task);
        if (hasEnded)
            co_return;
        co_await sleepFor(task->loop, RestartDelay);
    }
}

} // namespace

void startSupervised(asio::io_context &loop, std::string name,
                     std::function<asio::awaitable<void>()> run)
{
    const auto task = std::make_shared<const SupervisedTask>(
            SupervisedTask{loop, std::move(name), std::move(run)});
    asio::co_spawn(loop, runUntilEnd(task), asio::detached);
}

void runSupervised(asio::io_context &loop)
{
    for (;;) {
        try {
            loop.run();
            return;
        } catch (const std::exception &error) {
            EventLine("handler.failed").add("reason", error.what());
        }
    }
}

} // namespace almondmill
