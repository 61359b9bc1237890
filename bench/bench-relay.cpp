// Measures the latency that one router adds to concurrent streams, 800 by default, compared with
// reading them directly from the engine.

#include "support/routerprocess.h"
#include "support/site.h"

#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <vector>

namespace {

using namespace almondmill;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::chrono::milliseconds TokenGap{65};
constexpr std::chrono::seconds StartSpread{5}; ///< The starts are spread over this time.
constexpr Milliseconds MaxAddedFirst{13.0};    ///< 2% of 0.65 s.
constexpr Milliseconds MaxAddedGap{6.5};       ///< 10% of 65 ms.
constexpr double Percentile = 0.99;
constexpr std::chrono::seconds RequestTimeout{60};

struct Options
{
    std::size_t streams = 800;
    std::uint32_t tokens = 150;
};

/// Completeness and event times of one caller's stream.
struct StreamTimes
{
    bool complete = false;
    Milliseconds first{0};
    std::vector<Milliseconds> gaps;
};

struct Summary
{
    std::size_t complete = 0;
    Milliseconds first{0};
    Milliseconds gap{0};
};

/// Processor time and memory of another process.
struct Usage
{
    double processorSeconds = 0;
    double peakMegabytes = 0;
};

std::size_t countEvents(const char *data, std::size_t size, char &last)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < size; ++i) {
        count += data[i] == '\n' && last == '\n' ? 1 : 0;
        last = data[i];
    }
    return count;
}

StreamTimes readStream(const std::string &baseUrl, std::size_t index, std::uint32_t tokens)
{
    httplib::Client client(baseUrl);
    client.set_bearer_token_auth(test::ApiKey);
    client.set_read_timeout(RequestTimeout);
    client.set_connection_timeout(RequestTimeout);
    client.set_tcp_nodelay(true);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = nlohmann::json{
            {"model", "reed"},
            {"prompt", "stream " + std::to_string(index)},
            {"max_tokens", tokens},
            {"stream",
             true}}.dump();
    request.set_header("X-Attempt-Id", "direct" + std::to_string(index));
    StreamTimes reading;
    std::size_t events = 0;
    char last = 0;
    auto before = std::chrono::steady_clock::now();
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        const auto now = std::chrono::steady_clock::now();
        const std::size_t arrived = countEvents(data, size, last);
        if (arrived != 0 && events == 0)
            reading.first = now - before;
        else if (arrived != 0)
            reading.gaps.emplace_back(now - before);
        if (arrived != 0)
            before = now;
        events += arrived;
        return true;
    };
    const auto result = client.send(request);
    reading.complete = result && result->status == 200 && events == tokens + 1;
    return reading;
}

Milliseconds percentile(std::vector<Milliseconds> values)
{
    if (values.empty())
        return Milliseconds(0);
    const auto rank =
            static_cast<std::ptrdiff_t>(Percentile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

Summary summarize(const std::vector<StreamTimes> &readings)
{
    Summary summary;
    std::vector<Milliseconds> firsts;
    std::vector<Milliseconds> gaps;
    for (const StreamTimes &reading : readings) {
        summary.complete += reading.complete ? 1 : 0;
        firsts.push_back(reading.first);
        gaps.insert(gaps.end(), reading.gaps.begin(), reading.gaps.end());
    }
    summary.first = percentile(std::move(firsts));
    summary.gap = percentile(std::move(gaps));
    return summary;
}

Summary measure(const std::string &baseUrl, const Options &options)
{
    std::vector<StreamTimes> readings(options.streams);
    std::vector<std::thread> callers;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < options.streams; ++i) {
        const auto at = start + StartSpread * i / options.streams;
        callers.emplace_back([&, i, at] {
            std::this_thread::sleep_until(at);
            readings[i] = readStream(baseUrl, i, options.tokens);
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    return summarize(readings);
}

Usage usageOf(pid_t process)
{
    const std::string folder = "/proc/" + std::to_string(process);
    Usage usage;
    std::ifstream stat(folder + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int FieldsBeforeTimes = 11;
    for (int i = 0; i < FieldsBeforeTimes; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.processorSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            usage.peakMegabytes = std::stod(line.substr(std::string("VmHWM:").size())) / 1024.0;
    }
    return usage;
}

int run(const Options &options)
{
    standin::EngineOptions engine;
    engine.tokenGap = TokenGap;
    test::Site site(1, 0, engine);
    site.rules().clientAccounts.front().maxConcurrent = static_cast<std::uint32_t>(options.streams);
    site.inventory().models.front().maxInFlight = static_cast<std::uint32_t>(options.streams);
    site.submit();
    test::RouterProcess router(site.platformUrl());
    if (!router.waitUntilReady()) {
        std::cerr
                << "bench-relay: /readyz of the router did not answer 200 within the time limit\n";
        return 1;
    }
    const Summary direct = measure("http://" + site.engineAddress(0), options);
    const Usage before = usageOf(router.process().pid());
    const auto start = std::chrono::steady_clock::now();
    const Summary relayed = measure(router.callersUrl(), options);
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    const Usage after = usageOf(router.process().pid());

    const Milliseconds addedFirst = relayed.first - direct.first;
    const Milliseconds addedGap = relayed.gap - direct.gap;
    std::printf("direct: complete=%zu first_p99_ms=%.1f gap_p99_ms=%.1f\n", direct.complete,
                direct.first.count(), direct.gap.count());
    std::printf("relayed: complete=%zu first_p99_ms=%.1f gap_p99_ms=%.1f\n", relayed.complete,
                relayed.first.count(), relayed.gap.count());
    std::printf("relay streams=%zu complete=%zu added_first_p99_ms=%.1f added_gap_p99_ms=%.1f "
                "rss_mb=%.0f cores=%.2f\n",
                options.streams, relayed.complete, addedFirst.count(), addedGap.count(),
                after.peakMegabytes,
                (after.processorSeconds - before.processorSeconds) / taken.count());
    const bool withinLimits = relayed.complete == options.streams && addedFirst <= MaxAddedFirst
                              && addedGap <= MaxAddedGap;
    return withinLimits ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures the latency that one router adds to concurrent streams");
    Options options;
    app.add_option("--streams", options.streams, "number of concurrent streams");
    app.add_option("--tokens", options.tokens, "tokens of each stream");
    CLI11_PARSE(app, argc, argv);
    return run(options);
}
