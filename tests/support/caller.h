#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace almondmill::test {

class RouterProcess;

/// A completion that tests ask for.
struct CompletionOrder
{
    std::string prompt = "voicing history";
    std::uint32_t tokens = 12;
    bool stream = true;
    bool deterministic = true;

    std::string body() const;
};

/// What a caller got.
struct CallerAnswer
{
    int status = 0; ///< Zero when there was no whole answer.
    std::string body;
    std::string servedBy;
};

/// Asks at `baseUrl` for a completion. `onBytes` sees the body so far after each piece, and ends
/// the call by returning false.
CallerAnswer askForCompletion(
        const std::string &baseUrl, const CompletionOrder &order,
        const std::function<bool(const std::string &)> &onBytes = [](const std::string &) {
            return true;
        });

/// Value of a counter at the router's /metrics; zero when it is not there.
std::uint64_t counterValue(const RouterProcess &router, const std::string &series);

/// How many events the text holds.
std::size_t eventCount(const std::string &text);

/// A connection whose bytes the test writes itself, for what no HTTP library would send.
class RawCaller
{
public:
    /// Connects to "http://IP:port".
    explicit RawCaller(const std::string &baseUrl);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &bytes) const;

    /// Closes the sending side only.
    void closeSending() const;

    /// All bytes until the router closes the connection; what came so far when it resets it.
    std::string readToEnd() const;

private:
    int m_socket;
};

} // namespace almondmill::test
