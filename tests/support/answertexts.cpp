#include "support/answertexts.h"

#include "support/forwardingharness.h"

#include <array>
#include <cstdio>

namespace almondmill::test {

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

std::string chunkText(const std::string &bytes)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", bytes.size());
    return std::string(size.data()) + "\r\n" + bytes + "\r\n";
}

std::string signedHead(const std::string &call, const std::string &moreHeaders)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(call, "Request-Id")
           + "\r\nServer-Signature: s1\r\n" + moreHeaders + "\r\n";
}

std::string streamAnswer(const std::string &call, const std::string &body, Framing framing)
{
    const std::string type = "Content-Type: text/event-stream\r\nConnection: close\r\n";
    switch (framing) {
    case Framing::Chunked:
        return signedHead(call, type + "Transfer-Encoding: chunked\r\n") + chunkText(body)
               + LastChunkText;
    case Framing::Length:
        return signedHead(call, type + "Content-Length: " + std::to_string(body.size()) + "\r\n")
               + body;
    case Framing::UntilClose:
        break;
    }
    return signedHead(call, type) + body;
}

bool hasStatus(const std::string &answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

bool endsWithLastChunk(const std::string &answer)
{
    return answer.ends_with(std::string("\r\n") + LastChunkText);
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace almondmill::test
