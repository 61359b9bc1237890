#pragma once

#include "almondmill/http/httphead.h"
#include "almondmill/http/messageframing.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <string>

namespace almondmill {

/// Incremental parser of one HTTP/1.1 message. The head is kept as received. The body is decoded
/// from its transfer coding and appended to `body()` until the reader takes it. A message whose
/// framing is refused fails when its head is complete.
template<bool IsRequest>
class MessageParser : public boost::beast::http::basic_parser<IsRequest>
{
public:
    using ErrorCode = boost::beast::error_code;
    using View = boost::beast::string_view;

    const HttpHead &head() const { return m_head; }

    /// How the end of the body is found. Valid from the end of the head, also if that failed.
    MessageFraming framing() const { return m_framing; }

    /// Body bytes that have been parsed and not yet taken.
    std::string &body() { return m_body; }

private:
    /// Whether another answer begins within the text: the one before it broke off there, and their
    /// heads must not be read as one.
    static bool containsStatusLine(View text)
    {
        const auto at = text.find("HTTP/1.");
        constexpr std::size_t VersionBytes = 8;
        return at != View::npos && text.substr(at).size() > VersionBytes
               && text[at + VersionBytes] == ' ';
    }

    using BodyLength = boost::optional<std::uint64_t>;

    void on_request_impl(boost::beast::http::verb, View method, View target, int version,
                         ErrorCode &) override
    {
        m_head.version = version;
        m_head.method.assign(method.data(), method.size());
        m_head.target.assign(target.data(), target.size());
    }

    void on_response_impl(int status, View reason, int version, ErrorCode &error) override
    {
        m_head.version = version;
        m_head.status = static_cast<unsigned>(status);
        if (!isStatus(m_head.status))
            error = boost::beast::http::error::bad_status;
        else if (containsStatusLine(reason))
            error = boost::beast::http::error::bad_reason;
    }

    void on_field_impl(boost::beast::http::field, View name, View value, ErrorCode &error) override
    {
        if (!IsRequest && containsStatusLine(value)) {
            error = boost::beast::http::error::bad_value;
            return;
        }
        if (!m_isHeadComplete) {
            m_head.fields.add({name.data(), name.size()}, {value.data(), value.size()});
            return;
        }
        m_trailerBytes += name.size() + value.size();
        if (m_trailerBytes > MaxTrailerBytes)
            error = boost::beast::http::error::header_limit;
    }

    void on_header_impl(ErrorCode &error) override
    {
        m_isHeadComplete = true;
        m_framing = IsRequest ? framingOfRequest(m_head) : framingOfAnswer(m_head);
        // The base class reads the body, so it must see the same framing.
        if (m_framing == MessageFraming::Chunked && !this->chunked())
            m_framing = MessageFraming::Ambiguous;
        if (isRefused(m_framing))
            error = boost::beast::http::error::bad_transfer_encoding;
    }

    void on_body_init_impl(const BodyLength &length, ErrorCode &) override
    {
        m_bodyBytes = length.value_or(0);
    }

    /// Appends to the body. Its last growth reserves what the announced length needs and no more.
    void append(View bytes)
    {
        const std::size_t needed = m_body.size() + bytes.size();
        if (needed > m_body.capacity() && m_bodyBytes <= 2 * m_body.capacity())
            m_body.reserve(std::max<std::size_t>(needed, m_bodyBytes));
        m_body.append(bytes.data(), bytes.size());
    }

    std::size_t on_body_impl(View bytes, ErrorCode &) override
    {
        append(bytes);
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, View, ErrorCode &) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, View bytes, ErrorCode &) override
    {
        append(bytes);
        return bytes.size();
    }

    void on_finish_impl(ErrorCode &) override {}

    /// Trailers are dropped, as routers and engines send none; this bounds the time to read them.
    static constexpr std::size_t MaxTrailerBytes = std::size_t(64) << 10U;

    HttpHead m_head;
    MessageFraming m_framing = MessageFraming::None;
    std::string m_body;
    bool m_isHeadComplete = false;
    std::uint64_t m_bodyBytes = 0; ///< Announced; zero if unknown.
    std::size_t m_trailerBytes = 0;
};

using RequestParser = MessageParser<true>;
using AnswerParser = MessageParser<false>;

} // namespace almondmill
