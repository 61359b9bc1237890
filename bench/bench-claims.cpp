// Measures the cost of a claim with the platform stand-in: platform calls, added latency and stored
// bytes.

#include "almondmill/claims/atmostonceexecutor.h"
#include "almondmill/claims/claimcodec.h"
#include "almondmill/claims/claimsettler.h"
#include "almondmill/claims/claimstore.h"
#include "almondmill/kernel/randomid.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/store/httpplatform.h"

#include "platformserver.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>
#include <thread>
#include <vector>

namespace {

using namespace almondmill;
using Clock = std::chrono::steady_clock;

constexpr const char *Address = "127.77.0.1:8000";
constexpr std::chrono::milliseconds Timeout{1000};
constexpr std::chrono::seconds MaxCallTime{60};
constexpr std::size_t AnswerBytes = 200;

struct Options
{
    unsigned calls = 2000;
    unsigned threads = 4;
    unsigned delayMs = 2;
};

StoredAnswer exampleAnswer()
{
    StoredAnswer answer;
    answer.status = 201;
    answer.contentType = "application/json";
    answer.endpoint = "booking-1";
    answer.body = std::string(AnswerBytes, 'x');
    return answer;
}

/// Runs `count` calls with new ids and an immediate answer. Returns the time of each in
/// milliseconds.
std::vector<double> runCalls(AtMostOnceExecutor &atMostOnce, unsigned count)
{
    std::vector<double> times;
    times.reserve(count);
    for (unsigned i = 0; i < count; ++i) {
        const AtMostOnceCall call{"account", randomId(),
                                  callFingerprint("POST", "/booking/slots", ""), SteadyTime::max()};
        const auto start = Clock::now();
        atMostOnce.run(call, std::chrono::system_clock::now(), exampleAnswer);
        const std::chrono::duration<double, std::milli> passed = Clock::now() - start;
        times.push_back(passed.count());
    }
    return times;
}

std::vector<double> runConcurrently(AtMostOnceExecutor &atMostOnce, const Options &options)
{
    std::vector<std::vector<double>> parts(options.threads);
    std::vector<std::thread> threads;
    threads.reserve(options.threads);
    for (auto &part : parts) {
        threads.emplace_back([&atMostOnce, &part, &options] {
            part = runCalls(atMostOnce, options.calls / options.threads);
        });
    }
    std::vector<double> times;
    for (unsigned i = 0; i < options.threads; ++i) {
        threads[i].join();
        times.insert(times.end(), parts[i].begin(), parts[i].end());
    }
    std::sort(times.begin(), times.end());
    return times;
}

double quantile(const std::vector<double> &sorted, double share)
{
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

std::uint64_t calls(Metrics &metrics, const std::string &kind)
{
    return metrics.counter("almondmill_platform_calls_total", "kind=\"" + kind + "\"").value();
}

std::size_t meanClaimBytes(standin::PlatformServer &server)
{
    const auto listed = std::get<ObjectList>(server.store().list(ClaimPrefix, Timeout));
    std::size_t bytes = 0;
    for (const StoredObject &object : listed.objects)
        bytes += object.name.size() + object.value.size();
    return listed.objects.empty() ? 0 : bytes / listed.objects.size();
}

void run(const Options &options)
{
    standin::PlatformServer server(Address);
    if (options.delayMs > 0)
        server.setFault(standin::FaultMode::Slow, std::chrono::milliseconds(options.delayMs));
    Metrics metrics;
    HttpPlatform platform(std::string("http://") + Address, metrics);
    ClaimStore claims(platform, Timeout, MaxCallTime);
    ClaimSettler settler(claims, metrics);
    AtMostOnceExecutor atMostOnce(claims, settler, metrics, "router", 1);

    const std::vector<double> times = runConcurrently(atMostOnce, options);
    const auto count = static_cast<double>(times.size());
    const auto writes = static_cast<double>(calls(metrics, "create") + calls(metrics, "update"));
    const auto reads = static_cast<double>(calls(metrics, "read"));
    std::cout << "platform stand-in answers after " << options.delayMs << " ms, " << options.threads
              << " calls at once, answers of " << AnswerBytes << " bytes\n"
              << "claims calls=" << times.size() << " writes_per_call=" << writes / count
              << " reads_per_call=" << reads / count << " added_p50_ms=" << quantile(times, 0.5)
              << " added_p99_ms=" << quantile(times, 0.99)
              << " claim_bytes=" << meanClaimBytes(server) << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures what a claim costs");
    Options options;
    app.add_option("--calls", options.calls, "calls to run");
    app.add_option("--threads", options.threads, "number of concurrent calls");
    app.add_option("--delay-ms", options.delayMs, "answer time of the platform");
    CLI11_PARSE(app, argc, argv);
    run(options);
    return 0;
}
