#include "support/caller.h"

#include "support/routerprocess.h"
#include "support/site.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <sstream>

namespace almondmill::test {

std::string CompletionOrder::body() const
{
    return nlohmann::json{{"model", "reed"},
                          {"prompt", prompt},
                          {"max_tokens", tokens},
                          {"temperature", deterministic ? 0.0 : 1.0},
                          {"stream", stream}}
            .dump();
}

CallerAnswer askForCompletion(const std::string &baseUrl, const CompletionOrder &order,
                              const std::function<bool(const std::string &)> &onBytes)
{
    constexpr std::chrono::seconds ReadTimeout{60};
    httplib::Client client(baseUrl);
    client.set_bearer_token_auth(ApiKey);
    client.set_read_timeout(ReadTimeout);
    CallerAnswer answer;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = order.body();
    request.set_header("Content-Type", "application/json");
    request.set_header("X-Attempt-Id", "direct");
    request.response_handler = [&](const httplib::Response &response) {
        answer.servedBy = response.get_header_value("X-Served-By");
        return true;
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        answer.body.append(data, size);
        return onBytes(answer.body);
    };
    const auto result = client.send(request);
    answer.status = result ? result->status : 0;
    return answer;
}

std::uint64_t counterValue(const RouterProcess &router, const std::string &series)
{
    httplib::Client client(router.operatorsUrl());
    const auto result = client.Get("/metrics");
    std::istringstream lines(result ? result->body : std::string());
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(series + " "))
            return std::stoull(line.substr(series.size() + 1));
    }
    return 0;
}

std::size_t eventCount(const std::string &text)
{
    std::size_t count = 0;
    for (auto end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n", end + 2))
        ++count;
    return count;
}

RawCaller::RawCaller(const std::string &baseUrl)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
{
    const std::string address = baseUrl.substr(std::string("http://").size());
    const auto colon = address.find(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    if (connect(m_socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0)
        throw std::runtime_error("cannot connect to " + baseUrl);
}

RawCaller::~RawCaller()
{
    close(m_socket);
}

void RawCaller::send(const std::string &bytes) const
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count =
                ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += static_cast<std::size_t>(count);
    }
}

void RawCaller::closeSending() const
{
    shutdown(m_socket, SHUT_WR);
}

std::string RawCaller::readToEnd() const
{
    std::string text;
    char buffer[4096];
    ssize_t count = recv(m_socket, buffer, sizeof buffer, 0);
    for (; count > 0; count = recv(m_socket, buffer, sizeof buffer, 0))
        text.append(buffer, static_cast<std::size_t>(count));
    m_wasReset = count < 0;
    return text;
}

} // namespace almondmill::test
