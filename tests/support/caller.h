#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace almondmill::test {

class RouterProcess;

/// Parameters of a completion request.
struct CompletionOrder
{
    std::string prompt = "voicing history";
    std::uint32_t tokens = 12;
    bool stream = true;
    bool deterministic = true;

    std::string body() const;
};

/// The answer to a caller's request.
struct CallerAnswer
{
    int status = 0; ///< Zero without a complete response.
    std::string body;
    std::string servedBy;
};

/// Requests a completion from `baseUrl`. `onBytes` is called with the body received so far after
/// each chunk; it ends the call by returning false.
CallerAnswer askForCompletion(
        const std::string &baseUrl, const CompletionOrder &order,
        const std::function<bool(const std::string &)> &onBytes = [](const std::string &) {
            return true;
        });

/// Value of a counter in the router's /metrics; zero if it is missing.
std::uint64_t counterValue(const RouterProcess &router, const std::string &series);

/// Number of complete server-sent events in the text.
std::size_t eventCount(const std::string &text);

/// A TCP connection on which a test sends arbitrary bytes, such as requests that an HTTP library
/// would not send.
class RawCaller
{
public:
    /// Connects to "http://IP:port".
    explicit RawCaller(const std::string &baseUrl);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &bytes) const;

    /// Shuts down the sending direction only.
    void closeSending() const;

    /// Returns all bytes up to the end of the connection, or those received before a reset.
    std::string readToEnd() const;

    /// Whether the connection ended with a reset. Valid after `readToEnd`.
    bool wasReset() const { return m_wasReset; }

private:
    int m_socket;
    mutable bool m_wasReset = false;
};

} // namespace almondmill::test
