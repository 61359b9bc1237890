#include "almondmill/http/hopbyhopfields.h"
#include "almondmill/http/messageparser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

/// Feeds `text` to `parser` in pieces of `step` bytes. Returns the first error, if any.
template<typename Parser>
boost::system::error_code feed(Parser &parser, const std::string &text, std::size_t step)
{
    std::string pending;
    for (std::size_t at = 0; at < text.size(); at += step) {
        pending += text.substr(at, step);
        while (!pending.empty() && !parser.is_done()) {
            boost::system::error_code error;
            const auto used = parser.put(boost::asio::buffer(pending), error);
            pending.erase(0, used);
            if (error == boost::beast::http::error::need_more)
                break;
            if (error)
                return error;
        }
    }
    return {};
}

} // namespace

RC_GTEST_PROP(MessageParser, ParsesAMessageInPiecesOfAnySize, ())
{
    const auto step = *rc::gen::inRange<std::size_t>(1, 60);
    RequestParser parser;
    const auto error =
            feed(parser,
                 "POST /a%2F?q=1 HTTP/1.1\r\nHost: h\r\nX-a: 1\r\nx-A: 2\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n3;x=y\r\n...\r\n0\r\n\r\n",
                 step);
    RC_ASSERT(!error);
    RC_ASSERT(parser.is_done());
    RC_ASSERT(parser.head().method == "POST");
    RC_ASSERT(parser.head().target == "/a%2F?q=1");
    RC_ASSERT(parser.head().fields.count("X-A") == 2U);
    RC_ASSERT(parser.body() == "body...");
}

TEST(MessageParser, RejectsConflictingLengths)
{
    RequestParser parser;
    EXPECT_TRUE(feed(
            parser, "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
            100));
    RequestParser twice;
    EXPECT_TRUE(feed(twice, "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
                     100));
}

TEST(MessageParser, AnswerWithoutLengthEndsWithTheConnection)
{
    AnswerParser parser;
    EXPECT_FALSE(feed(parser, "HTTP/1.1 200 OK\r\n\r\nabc", 100));
    EXPECT_FALSE(parser.is_done());
    EXPECT_TRUE(parser.need_eof());
    EXPECT_EQ(parser.body(), "abc");
}

TEST(HopByHopFields, IncludeFieldsListedUnderConnection)
{
    HttpFields fields;
    fields.add("connection", "close, X-One");
    EXPECT_TRUE(isHopByHopField("Keep-Alive", fields));
    EXPECT_TRUE(isHopByHopField("x-one", fields));
    EXPECT_FALSE(isHopByHopField("X-Two", fields));
    EXPECT_TRUE(hasConnectionOption(fields, "Close"));
}

TEST(HttpHead, ParseNumberAcceptsOnlyUnsignedIntegersOfLimitedLength)
{
    EXPECT_EQ(parseNumber("0"), 0U);
    EXPECT_EQ(parseNumber("150"), 150U);
    for (const char *text : {"", "-1", "+1", "1.5", "1 ", "x", "9999999999999999999"})
        EXPECT_EQ(parseNumber(text), std::nullopt) << text;
}

} // namespace almondmill::test
