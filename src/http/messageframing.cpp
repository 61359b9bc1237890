#include "almondmill/http/messageframing.h"

#include "almondmill/http/httphead.h"
#include "almondmill/kernel/abslview.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <string_view>
#include <vector>

namespace almondmill {

namespace {

constexpr std::string_view LengthField = "Content-Length";
constexpr std::string_view CodingField = "Transfer-Encoding";
constexpr std::string_view ChunkedCoding = "chunked";
constexpr std::string_view IdentityCoding = "identity"; ///< No coding at all; obsolete.

constexpr int Http11 = 11;

/// The transfer codings of a message in the order in which they were applied. An empty element of
/// a list counts as an unknown coding, because parsers differ in whether they skip it.
std::vector<std::string_view> codingsOf(const HttpFields &fields)
{
    std::vector<std::string_view> codings;
    for (const HttpField &field : fields.all()) {
        if (!sameHeaderName(field.name, CodingField))
            continue;
        for (const absl::string_view item : absl::StrSplit(abslView(field.value), ',')) {
            const absl::string_view coding = absl::StripAsciiWhitespace(item);
            codings.emplace_back(coding.data(), coding.size());
        }
    }
    return codings;
}

bool isChunked(std::string_view coding)
{
    return sameHeaderName(coding, ChunkedCoding);
}

/// Framing of a message with these codings. Only the chunks of the last one show its end.
MessageFraming framingOfCodings(const std::vector<std::string_view> &codings)
{
    const auto timesChunked = std::count_if(codings.begin(), codings.end(), isChunked);
    const bool hasEmpty = std::any_of(codings.begin(), codings.end(),
                                      [](std::string_view coding) { return coding.empty(); });
    if (timesChunked != 1 || hasEmpty || !isChunked(codings.back()))
        return MessageFraming::Ambiguous;
    return codings.size() == 1 ? MessageFraming::Chunked : MessageFraming::UnsupportedCoding;
}

/// HTTP/1.0 knows no transfer codings, and a length beside one contradicts it.
bool mayHaveCodings(const HttpHead &head)
{
    return head.version >= Http11 && !head.fields.find(LengthField);
}

} // namespace

MessageFraming framingOfRequest(const HttpHead &head)
{
    if (!head.fields.find(CodingField))
        return head.fields.find(LengthField) ? MessageFraming::Length : MessageFraming::None;
    return mayHaveCodings(head) ? framingOfCodings(codingsOf(head.fields))
                                : MessageFraming::Ambiguous;
}

MessageFraming framingOfAnswer(const HttpHead &head)
{
    if (!head.fields.find(CodingField))
        return head.fields.find(LengthField) ? MessageFraming::Length : MessageFraming::UntilClose;
    if (!mayHaveCodings(head))
        return MessageFraming::Ambiguous;
    const auto codings = codingsOf(head.fields);
    if (codings.size() == 1 && sameHeaderName(codings.front(), IdentityCoding))
        return MessageFraming::UntilClose;
    return framingOfCodings(codings);
}

bool isRefused(MessageFraming framing)
{
    return framing == MessageFraming::Ambiguous || framing == MessageFraming::UnsupportedCoding;
}

} // namespace almondmill
