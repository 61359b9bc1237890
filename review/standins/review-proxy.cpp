// TCP proxy between a router and the platform's store. At SIGUSR1 it holds back the next answer
// with a given text, as the loss of its packet and the retransmission do. At SIGUSR2 it closes the
// connection on which a request with a given text waits for its answer, now or next. Prints a line
// for each.

#include "timestamp.h"

#include "spawn.h"

#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/asyncsleep.h"

#include <CLI/CLI.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <functional>
#include <iostream>
#include <list>
#include <memory>
#include <string>

namespace {

namespace asio = boost::asio;

using almondmill::review::unixMs;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

/// Largest number of bytes that is passed on at once.
constexpr std::size_t BufferBytes = 65536;

/// A call that has waited for this long is one that waits for a change.
constexpr std::chrono::milliseconds CutDelay{30};

struct ProxyOptions
{
    std::string listen;     ///< "IP:port" to serve on.
    std::string target;     ///< "IP:port" to connect to.
    std::string lateAnswer; ///< Text of the answers that may be held back.
    std::string cutRequest; ///< Text of the requests whose connections may be closed.
    std::chrono::milliseconds lateBy{300};
};

/// One connection through the proxy.
struct Link
{
    Tcp::socket caller;
    Tcp::socket target;
    bool waits = false; ///< A request with the text `cutRequest` has no answer yet.

    void close()
    {
        ErrorCode ignored; // A socket may be closed already.
        caller.close(ignored);
        target.close(ignored);
    }
};

/// Passes connections on and applies the faults. Used only on the event loop.
class LossyProxy
{
public:
    LossyProxy(asio::io_context &loop, ProxyOptions options)
        : m_loop(loop)
        , m_options(std::move(options))
        , m_acceptor(loop, almondmill::parseSocketAddress(m_options.listen))
    {
        almondmill::standin::spawn(m_loop, accept());
    }

    /// Holds back the next answer with the text `lateAnswer`.
    void delayNextAnswer() { m_isLossPending = true; }

    /// Closes the connection on which a request with the text `cutRequest` waits. If there is none,
    /// closes the next one.
    void cutWaiting()
    {
        m_isCutPending = true;
        for (const auto &known : m_links) {
            const auto link = known.lock();
            if (link && link->waits)
                cut(*link);
        }
    }

private:
    void cut(Link &link)
    {
        if (!m_isCutPending)
            return;
        m_isCutPending = false;
        link.close();
        std::cout << "time_ms=" << unixMs() << " proxy=cut" << std::endl;
    }

    asio::awaitable<void> cutIfStillWaiting(std::shared_ptr<Link> link)
    {
        co_await almondmill::sleepFor(m_loop, CutDelay);
        if (link->waits)
            cut(*link);
    }

    asio::awaitable<void> accept()
    {
        for (;;) {
            Tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            auto link = std::make_shared<Link>(Link{std::move(socket), Tcp::socket(m_loop)});
            m_links.remove_if([](const auto &known) { return known.expired(); });
            m_links.push_back(link);
            almondmill::standin::spawn(m_loop, connect(std::move(link)));
        }
    }

    asio::awaitable<void> connect(std::shared_ptr<Link> link)
    {
        ErrorCode error;
        co_await link->target.async_connect(almondmill::parseSocketAddress(m_options.target),
                                            asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            link->close();
            co_return;
        }
        ErrorCode ignored; // Failing to set TCP_NODELAY only adds latency.
        link->caller.set_option(Tcp::no_delay(true), ignored);
        link->target.set_option(Tcp::no_delay(true), ignored);
        almondmill::standin::spawn(m_loop, pass(link, true));
        almondmill::standin::spawn(m_loop, pass(link, false));
    }

    asio::awaitable<void> pass(std::shared_ptr<Link> link, bool toTarget)
    {
        Tcp::socket &from = toTarget ? link->caller : link->target;
        Tcp::socket &to = toTarget ? link->target : link->caller;
        std::string buffer(BufferBytes, 0);
        for (;;) {
            ErrorCode error;
            const std::size_t got = co_await from.async_read_some(
                    asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            if (error)
                break;
            const std::string_view bytes(buffer.data(), got);
            if (toTarget)
                link->waits = !m_options.cutRequest.empty()
                              && bytes.find(m_options.cutRequest) != std::string_view::npos;
            else
                co_await holdBack(bytes);
            co_await asio::async_write(to, asio::buffer(bytes.data(), bytes.size()),
                                       asio::redirect_error(asio::use_awaitable, error));
            if (!toTarget)
                link->waits = false;
            if (error)
                break;
            if (toTarget && link->waits && m_isCutPending)
                almondmill::standin::spawn(m_loop, cutIfStillWaiting(link));
        }
        link->close();
    }

    asio::awaitable<void> holdBack(std::string_view answer)
    {
        if (!m_isLossPending || answer.find(m_options.lateAnswer) == std::string_view::npos)
            co_return;
        m_isLossPending = false;
        std::cout << "time_ms=" << unixMs() << " proxy=held" << std::endl;
        co_await almondmill::sleepFor(m_loop, m_options.lateBy);
        std::cout << "time_ms=" << unixMs() << " proxy=delivered" << std::endl;
    }

    asio::io_context &m_loop;
    ProxyOptions m_options;
    Tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<Link>> m_links;
    bool m_isLossPending = false;
    bool m_isCutPending = false;
};

/// Calls `action` at each of the signals.
void atSignal(boost::asio::signal_set &signals, const std::function<void()> &action)
{
    signals.async_wait([&signals, action](const ErrorCode &error, int) {
        if (error)
            return;
        action();
        atSignal(signals, action);
    });
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Proxy that delays single answers and cuts waiting calls");
    ProxyOptions options;
    std::int64_t lateMs = options.lateBy.count();
    app.add_option("--listen", options.listen, "IP:port to serve on")->required();
    app.add_option("--target", options.target, "IP:port to connect to")->required();
    app.add_option("--late-answer", options.lateAnswer, "text of the answer held back at SIGUSR1");
    app.add_option("--late-ms", lateMs, "time for which it is held back, ms");
    app.add_option("--cut-request", options.cutRequest, "text of the calls closed at SIGUSR2");
    CLI11_PARSE(app, argc, argv);
    options.lateBy = std::chrono::milliseconds(lateMs);

    boost::asio::io_context loop;
    LossyProxy proxy(loop, options);
    boost::asio::signal_set losses(loop, SIGUSR1);
    atSignal(losses, [&] { proxy.delayNextAnswer(); });
    boost::asio::signal_set cuts(loop, SIGUSR2);
    atSignal(cuts, [&] { proxy.cutWaiting(); });
    boost::asio::signal_set ends(loop, SIGTERM, SIGINT);
    ends.async_wait([&](const ErrorCode &, int) { loop.stop(); });
    loop.run();
    return 0;
}
