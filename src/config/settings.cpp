#include "almondmill/config/settings.h"

#include "almondmill/config/tablereader.h"
#include "almondmill/config/textfile.h"
#include "almondmill/config/tomltext.h"
#include "almondmill/http/memorylimits.h"
#include "almondmill/kernel/inputerror.h"

namespace almondmill {

namespace {

constexpr std::uint32_t MaxBodyBytes = 64U << 20U;
constexpr std::uint32_t MaxThreads = 20000;
constexpr std::uint32_t SpareThreads = 50; ///< Left for refusals when all requests are taken.
constexpr std::uint32_t MaxMemoryMb = 1U << 20U;

/// Memory of a connection's thread: its stack and its buffers.
constexpr std::size_t BytesPerThread = std::size_t(32) << 10U;

LogLevel readLogLevel(TableReader &reader)
{
    const std::string text = reader.optionalString("log_level", "info");
    if (text == "debug")
        return LogLevel::Debug;
    if (text == "info")
        return LogLevel::Info;
    if (text == "warning")
        return LogLevel::Warning;
    if (text == "error")
        return LogLevel::Error;
    reader.report("config.208", "log_level",
                  "must be debug, info, warning or error, got '" + text + "'");
    return LogLevel::Info;
}

void readMemory(TableReader &reader, Settings &settings)
{
    settings.maxMemoryMb = reader.number("max_memory", settings.maxMemoryMb, 0, MaxMemoryMb);
    const std::size_t needed = memoryOfLargestRequest(settings.maxBodyBytes);
    if (settings.memoryForCallers() < needed) {
        reader.report("config.222", "max_memory",
                      "too small: a request of max_body_bytes needs " + std::to_string(needed)
                              + " bytes, and " + std::to_string(settings.maxMemoryMb)
                              + " MB with caller_threads = "
                              + std::to_string(settings.callerThreads) + " leave "
                              + std::to_string(settings.memoryForCallers()));
    }
}

void readLimits(TableReader &reader, Settings &settings)
{
    settings.maxBodyBytes =
            reader.number("max_body_bytes", settings.maxBodyBytes, 1024, MaxBodyBytes);
    settings.maxRequests = reader.number("max_requests", settings.maxRequests, 1, MaxThreads);
    settings.queueRequests = reader.number("queue_requests", settings.queueRequests, 1, MaxThreads);
    settings.callerThreads = reader.number("caller_threads", settings.callerThreads, 2, MaxThreads);
    if (settings.callerThreads < settings.maxRequests + SpareThreads) {
        reader.report("config.209", "caller_threads",
                      "must be at least max_requests + " + std::to_string(SpareThreads)
                              + " so that refusals can still be sent, got "
                              + std::to_string(settings.callerThreads));
    }
    readMemory(reader, settings);
}

void readTimeouts(TableReader &reader, Settings &settings)
{
    settings.platformTimeout = reader.duration("platform", settings.platformTimeout);
    settings.connectTimeout = reader.duration("connect", settings.connectTimeout);
    settings.firstByteTimeout = reader.duration("first_byte", settings.firstByteTimeout);
    settings.streamIdleTimeout = reader.duration("stream_idle", settings.streamIdleTimeout);
    settings.requestTimeout = reader.duration("request", settings.requestTimeout);
    settings.queueWait = reader.duration("queue_wait", settings.queueWait);
    settings.drainNotice = reader.duration("drain_notice", settings.drainNotice);
}

} // namespace

std::size_t Settings::memoryForCallers() const
{
    return almondmill::memoryForCallers(maxMemoryMb, callerThreads, BytesPerThread);
}

Settings parseSettings(const std::string &text, const std::string &file)
{
    Findings findings;
    const toml::table table = parseToml(text, file, findings);
    if (!findings.empty())
        throw InputError("config.200", findings);

    TableReader reader(table, file, {}, findings);
    Settings settings;
    settings.name = reader.requiredString("name");
    settings.dataCentre = reader.requiredString("data_centre");
    settings.region = reader.optionalString("region", settings.region);
    settings.listen = reader.requiredString("listen");
    settings.operatorsListen = reader.requiredString("operators_listen");
    settings.peersListen = reader.requiredString("peers_listen");
    settings.seeds = reader.strings("seeds");
    settings.platform = reader.requiredString("platform");
    settings.platformClient = reader.optionalString("platform_client", settings.platformClient);
    settings.logLevel = readLogLevel(reader);
    reader.table("limits", [&](TableReader &limits) { readLimits(limits, settings); });
    reader.table("timeouts", [&](TableReader &timeouts) { readTimeouts(timeouts, settings); });
    reader.reportUnknownKeys();
    if (!findings.empty())
        throw InputError("config.200", findings);
    return settings;
}

Settings loadSettings(const std::string &file)
{
    return parseSettings(readTextFile(file), file);
}

} // namespace almondmill
