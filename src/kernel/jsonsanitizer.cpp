#include "almondmill/kernel/jsonsanitizer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <utility>

namespace almondmill {

namespace {

constexpr std::string_view Null = "null";
constexpr std::array<std::string_view, 3> KnownWords{"true", "false", Null};
constexpr std::string_view NumberCharacters = "+-0123456789.eE";
constexpr std::string_view WhiteSpace = " \t\r\n";
constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

/// "\uXXXX".
constexpr std::size_t UnicodeEscapeLength = 6;

std::uint8_t byteAt(std::string_view text, std::size_t at)
{
    return at < text.size() ? static_cast<std::uint8_t>(text[at]) : 0;
}

bool isBetween(std::uint8_t byte, unsigned least, unsigned most)
{
    return byte >= least && byte <= most;
}

/// Length of the UTF-8 character at the start of the text; zero when there is none.
std::size_t characterLength(std::string_view text)
{
    const std::uint8_t first = byteAt(text, 0);
    const std::uint8_t second = byteAt(text, 1);
    const auto continues = [&](std::size_t at) { return isBetween(byteAt(text, at), 0x80, 0xbf); };
    if (first < 0x80)
        return 1;
    if (isBetween(first, 0xc2, 0xdf))
        return continues(1) ? 2 : 0;
    if (isBetween(first, 0xe0, 0xef)) {
        const unsigned least = first == 0xe0 ? 0xa0 : 0x80;
        const unsigned most = first == 0xed ? 0x9f : 0xbf;
        return isBetween(second, least, most) && continues(2) ? 3 : 0;
    }
    if (isBetween(first, 0xf0, 0xf4)) {
        const unsigned least = first == 0xf0 ? 0x90 : 0x80;
        const unsigned most = first == 0xf4 ? 0x8f : 0xbf;
        return isBetween(second, least, most) && continues(2) && continues(3) ? 4 : 0;
    }
    return 0;
}

/// Whether the text begins with an escaped surrogate whose third digit is between the two.
bool isSurrogate(std::string_view text, std::string_view thirdDigits)
{
    return text.size() >= UnicodeEscapeLength && text[0] == '\\' && text[1] == 'u'
           && (text[2] == 'd' || text[2] == 'D')
           && thirdDigits.find(text[3]) != std::string_view::npos;
}

bool isHighSurrogate(std::string_view text)
{
    return isSurrogate(text, "89abAB");
}

bool isLowSurrogate(std::string_view text)
{
    return isSurrogate(text, "cdefCDEF");
}

class JsonSanitizer
{
public:
    JsonSanitizer(std::string_view text, UnreadableStrings unreadable)
        : m_text(text)
        , m_unreadable(unreadable)
    {
        m_result.reserve(text.size());
    }

    std::string run()
    {
        while (m_at < m_text.size())
            readToken();
        return std::move(m_result);
    }

private:
    void readToken()
    {
        const char next = m_text[m_at];
        if (next == '"')
            readString();
        else if (next == '{' || next == '[')
            openValue();
        else if (isWord())
            readWord();
        else if (NumberCharacters.substr(0, NumberCharacters.find('.')).find(next)
                 != std::string_view::npos)
            readNumber();
        else
            copy(next == '}' || next == ']' ? closeValue() : 1);
    }

    /// A word may have a sign, as in "-Infinity".
    bool isWord() const
    {
        const std::size_t first = m_at + (m_text[m_at] == '-' ? 1 : 0);
        return first < m_text.size() && Letters.find(m_text[first]) != std::string_view::npos;
    }

    void openValue()
    {
        if (m_depth >= MaxJsonDepth) {
            skipValue();
            m_result += Null;
            return;
        }
        ++m_depth;
        copy(1);
    }

    std::size_t closeValue()
    {
        m_depth -= m_depth > 0 ? 1 : 0;
        return 1;
    }

    /// Passes over an array or object.
    void skipValue()
    {
        std::size_t open = 0;
        do {
            const char next = m_text[m_at];
            if (next == '"') {
                skipString();
                continue;
            }
            open += next == '{' || next == '[' ? 1 : 0;
            open -= next == '}' || next == ']' ? 1 : 0;
            ++m_at;
        } while (open > 0 && m_at < m_text.size());
    }

    void skipString()
    {
        ++m_at;
        while (m_at < m_text.size() && m_text[m_at] != '"')
            m_at += m_text[m_at] == '\\' ? 2 : 1;
        ++m_at;
    }

    /// A string that isn't text becomes null, but for a name in an object, which has to be one, and
    /// where such strings are marked.
    void readString()
    {
        const std::size_t from = m_result.size();
        m_isText = true;
        copy(1);
        while (m_at < m_text.size() && m_text[m_at] != '"')
            readCharacter();
        copy(1);
        const std::size_t next = m_text.find_first_not_of(WhiteSpace, m_at);
        const bool isName = next != std::string_view::npos && m_text[next] == ':';
        if (m_isText || isName || m_unreadable == UnreadableStrings::Marked)
            return;
        m_result.resize(from);
        m_result += Null;
    }

    void readCharacter()
    {
        constexpr std::uint8_t FirstPrintable = 0x20;
        const std::string_view rest = m_text.substr(m_at);
        if (rest.front() == '\\') {
            readEscape(rest);
            return;
        }
        const std::size_t length = characterLength(rest);
        if (length == 0 || byteAt(rest, 0) < FirstPrintable) {
            replaceUnreadable(1);
            return;
        }
        copy(length);
    }

    void readEscape(std::string_view rest)
    {
        const bool isPair =
                isHighSurrogate(rest) && isLowSurrogate(rest.substr(UnicodeEscapeLength));
        if (isPair) {
            copy(2 * UnicodeEscapeLength);
        } else if (isHighSurrogate(rest) || isLowSurrogate(rest)) {
            replaceUnreadable(UnicodeEscapeLength);
        } else {
            copy(2);
        }
    }

    /// One mark is enough for a string, and more of them could make it many times as long.
    void replaceUnreadable(std::size_t length)
    {
        if (m_unreadable == UnreadableStrings::Null)
            m_result += '?';
        else if (m_isText)
            m_result += UnreadableMark;
        m_isText = false;
        m_at += length;
    }

    void readNumber()
    {
        const std::string_view number = take(NumberCharacters);
        // Any other text stands for less than the largest double.
        constexpr std::size_t MaxSafeLength = 300;
        const bool mayOverflow = number.size() > MaxSafeLength
                                 || number.find_first_of("eE") != std::string_view::npos;
        const bool isFinite =
                !mayOverflow || std::isfinite(std::strtod(std::string(number).c_str(), nullptr));
        m_result += isFinite ? number : Null;
    }

    void readWord()
    {
        m_at += m_text[m_at] == '-' ? 1 : 0;
        const std::string_view word = take(Letters);
        const bool isKnown =
                std::find(KnownWords.begin(), KnownWords.end(), word) != KnownWords.end();
        m_result += isKnown ? word : Null;
    }

    std::string_view take(std::string_view characters)
    {
        const std::size_t from = m_at;
        m_at = std::min(m_text.find_first_not_of(characters, from), m_text.size());
        return m_text.substr(from, m_at - from);
    }

    void copy(std::size_t length)
    {
        const std::string_view piece = m_text.substr(std::min(m_at, m_text.size()), length);
        m_result += piece;
        m_at += length;
    }

    std::string_view m_text;
    const UnreadableStrings m_unreadable;
    std::size_t m_at = 0;
    std::size_t m_depth = 0;
    bool m_isText = true; ///< All characters of the string so far can be read.
    std::string m_result;
};

} // namespace

std::string sanitizeJson(std::string_view text, UnreadableStrings unreadable)
{
    return JsonSanitizer(text, unreadable).run();
}

} // namespace almondmill
