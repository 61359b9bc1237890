// Sends requests and prints one line for each: when it was sent and answered, its id and status.
// With --rate it sends many, each on a connection of its own; else one, whose body it prints too.

#include "timestamp.h"

#include <CLI/CLI.hpp>

#include <httplib.h>

#include <chrono>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using almondmill::review::unixMs;

struct ClientOptions
{
    std::string method = "GET";
    std::string address; ///< "http://IP:port".
    std::string path = "/";
    std::string body;
    std::string id = "request"; ///< Request-Id, or the beginning of it when many are sent.
    std::vector<std::string> headers;
    double rate = 0; ///< Requests a second; 0 sends a single one.
    double seconds = 1;
    int timeoutMs = 5000;
};

httplib::Request requestOf(const ClientOptions &options, const std::string &id)
{
    httplib::Request request;
    request.method = options.method;
    request.path = options.path;
    request.body = options.body;
    for (const std::string &header : options.headers) {
        const auto colon = header.find(": ");
        request.headers.emplace(header.substr(0, colon), header.substr(colon + 2));
    }
    request.headers.emplace("Request-Id", id);
    request.headers.emplace("Content-Type", "application/json");
    return request;
}

/// Sends one request and returns its answer; a status of 0 means that the connection ended without
/// one.
httplib::Response send(const ClientOptions &options, const std::string &id)
{
    httplib::Client client(options.address);
    client.set_connection_timeout(std::chrono::milliseconds(options.timeoutMs));
    client.set_read_timeout(std::chrono::milliseconds(options.timeoutMs));
    auto result = client.send(requestOf(options, id));
    httplib::Response none;
    none.status = 0;
    return result ? *result : none;
}

void sendAndPrint(const ClientOptions &options, const std::string &id, std::mutex &output)
{
    const auto sentAt = unixMs();
    const httplib::Response answer = send(options, id);
    std::ostringstream line;
    line << "sent_ms=" << sentAt << " answered_ms=" << unixMs() << " id=" << id
         << " status=" << answer.status << " server=" << answer.get_header_value("Server-Signature")
         << "\n";
    const std::lock_guard<std::mutex> lock(output);
    std::cout << line.str() << std::flush;
}

void sendMany(const ClientOptions &options)
{
    const auto start = std::chrono::steady_clock::now();
    const auto count = static_cast<int>(options.rate * options.seconds);
    std::mutex output;
    std::vector<std::thread> senders;
    for (int number = 0; number < count; ++number) {
        std::this_thread::sleep_until(
                start
                + std::chrono::duration_cast<std::chrono::nanoseconds>(
                        std::chrono::duration<double>(number / options.rate)));
        senders.emplace_back([&options, &output, number] {
            sendAndPrint(options, options.id + "-" + std::to_string(number), output);
        });
    }
    for (std::thread &sender : senders)
        sender.join();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Sends requests and prints their answers");
    ClientOptions options;
    app.add_option("method", options.method, "HTTP method")->required();
    app.add_option("address", options.address, "http://IP:port")->required();
    app.add_option("path", options.path, "path and query")->required();
    app.add_option("--body", options.body, "body");
    app.add_option("--id", options.id, "Request-Id, or its beginning");
    app.add_option("--header", options.headers, "NAME: VALUE");
    app.add_option("--rate", options.rate, "requests a second; without it one is sent");
    app.add_option("--seconds", options.seconds, "time for which requests are sent");
    app.add_option("--timeout-ms", options.timeoutMs, "longest wait for bytes of the answer, ms");
    CLI11_PARSE(app, argc, argv);
    if (options.rate > 0) {
        sendMany(options);
        return 0;
    }
    const httplib::Response answer = send(options, options.id);
    std::cout << answer.status << " " << answer.body << std::endl;
    return answer.status == 0 ? 1 : 0;
}
