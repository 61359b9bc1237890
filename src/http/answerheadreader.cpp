#include "almondmill/http/answerheadreader.h"

#include "almondmill/kernel/abslview.h"

#include <absl/strings/ascii.h>

namespace almondmill {

namespace {

constexpr std::string_view VersionName = "HTTP/";
constexpr std::string_view Http10 = "HTTP/1.0 ";
constexpr std::string_view InterimStatus = " 1"; ///< Of all statuses from 100 to 199.
constexpr std::string_view HeadEnd = "\r\n";

constexpr int Version10 = 10;
constexpr int Version11 = 11;

std::string_view trimmed(std::string_view text)
{
    const absl::string_view result = absl::StripAsciiWhitespace(abslView(text));
    return {result.data(), result.size()};
}

} // namespace

void AnswerHeadReader::addLine(std::string_view line)
{
    if (line.starts_with(VersionName)) {
        addStatusLine(line);
    } else if (line != HeadEnd) {
        addField(line);
    } else if (!m_isInterim) {
        m_isComplete = true;
        m_framing = framingOfAnswer(m_head);
    }
}

void AnswerHeadReader::addStatusLine(std::string_view line)
{
    m_head = HttpHead();
    m_head.version = line.starts_with(Http10) ? Version10 : Version11;
    const std::size_t status = line.find(' ');
    m_isInterim =
            status != std::string_view::npos && line.substr(status).starts_with(InterimStatus);
}

void AnswerHeadReader::addField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos)
        m_head.fields.add(line.substr(0, colon), trimmed(line.substr(colon + 1)));
}

} // namespace almondmill
