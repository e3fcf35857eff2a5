#include "adapters/http/MessageReader.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <limits>
#include <type_traits>

namespace teaselturn {

namespace http = boost::beast::http;

namespace {

    template <typename Message>
    constexpr bool isRequestMessage = std::is_same_v<Message, ReceivedRequest>;

    std::string_view findHeader(std::span<const HttpHeader> headers, std::string_view name) noexcept
    {
        const auto found = std::ranges::find_if(headers, [name](const HttpHeader& header) { return isSameHeaderName(header.name, name); });
        return found == headers.end() ? std::string_view {} : std::string_view { found->value };
    }

    std::string toString(boost::beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    /// Size of the shortest last chunk. The parser requires that many bytes once it has seen the beginning of one, and any
    /// chunk before it is followed by as many.
    constexpr std::size_t finalChunkBytes = std::string_view { "0\r\n\r\n" }.size();

    /// Largest body for which memory is reserved in advance if the body is taken in pieces.
    constexpr std::uint64_t maxPieceReserve = 64 * 1'024;

    /// Body of a message that may be taken in pieces. http::string_body reserves memory for the whole declared length.
    /// Boost.Beast requires the names of its members.
    struct PieceBody {
        struct value_type { // NOLINT(readability-identifier-naming)
            std::string bytes;
            std::uint64_t maxReserve { std::numeric_limits<std::uint64_t>::max() };
        };

        class reader { // NOLINT(readability-identifier-naming)
        public:
            template <bool isRequest, typename Fields>
            reader(http::header<isRequest, Fields>&, value_type& body)
                : body(body)
            {
            }

            void init(const boost::optional<std::uint64_t>& length, boost::beast::error_code& error)
            {
                error = {};
                if (length) {
                    this->body.bytes.reserve(static_cast<std::size_t>(std::min(*length, this->body.maxReserve)));
                }
            }

            template <typename Buffers>
            std::size_t put(const Buffers& buffers, boost::beast::error_code& error)
            {
                error = {};
                std::size_t count = 0;
                for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                    this->body.bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
                    count += buffer.size();
                }
                return count;
            }

            void finish(boost::beast::error_code& error) { error = {}; }

        private:
            value_type& body;
        };
    };

    /// Interim (1xx) responses that may precede a response.
    constexpr std::size_t maxInterimResponses = 16;

    /// @return False if the message has a transfer coding other than exactly one `chunked`. The parser would take it for a message
    /// without a body, or with one that ends with the connection.
    template <typename Head>
    bool hasReadableCoding(const Head& head)
    {
        const auto count = head.count(http::field::transfer_encoding);
        return count == 0 || (count == 1 && isSameHeaderName(toString(head[http::field::transfer_encoding]), "chunked"));
    }

    ReadProgress toReadProgress(const boost::beast::error_code& error)
    {
        if (!error || error == http::error::need_more) {
            return ReadProgress::Incomplete;
        }
        if (error == http::error::header_limit) {
            return ReadProgress::HeadTooLarge;
        }
        return error == http::error::body_limit ? ReadProgress::BodyTooLarge : ReadProgress::Malformed;
    }

}

std::string_view ReceivedRequest::header(std::string_view name) const noexcept { return findHeader(this->headers, name); }

std::string_view ReceivedResponse::header(std::string_view name) const noexcept { return findHeader(this->headers, name); }

template <typename Message>
struct MessageReader<Message>::Parser {
    http::parser<isRequestMessage<Message>, PieceBody> content;
};

template <typename Message>
MessageReader<Message>::MessageReader(ReadLimits limits)
    : limits(limits)
{
}

template <typename Message>
MessageReader<Message>::~MessageReader() = default;
template <typename Message>
MessageReader<Message>::MessageReader(MessageReader&&) noexcept = default;
template <typename Message>
MessageReader<Message>& MessageReader<Message>::operator=(MessageReader&&) noexcept = default;

template <typename Message>
ReadProgress MessageReader<Message>::read(std::string& buffer)
{
    std::size_t consumed = 0;
    auto progress = ReadProgress::Incomplete;
    while (consumed < buffer.size()) {
        if (!this->parser) {
            this->parser = std::make_unique<Parser>();
            this->parser->content.eager(true);
            this->parser->content.header_limit(static_cast<std::uint32_t>(this->limits.maxHeadBytes));
            if (this->isTakenInPieces) {
                // Boost 1.74 takes any declared length for one beyond a limit that is absent.
                this->parser->content.body_limit(std::numeric_limits<std::uint64_t>::max());
                this->parser->content.get().body().maxReserve = maxPieceReserve;
            } else {
                this->parser->content.body_limit(this->limits.maxBodyBytes);
            }
            this->parser->content.skip(this->isBodyless);
        }
        if (this->parser->content.is_header_done() && this->parser->content.chunked() && buffer.size() - consumed < finalChunkBytes) {
            break;
        }
        const bool wasHeadDone = this->parser->content.is_header_done();
        boost::beast::error_code error;
        const auto taken = this->parser->content.put(boost::asio::const_buffer { buffer.data() + consumed, buffer.size() - consumed }, error);
        consumed += taken;
        progress = toReadProgress(error);
        if (progress != ReadProgress::Incomplete) {
            break;
        }
        if (!wasHeadDone && this->parser->content.is_header_done() && !hasReadableCoding(this->parser->content.get())) {
            progress = ReadProgress::Malformed;
            break;
        }
        if constexpr (!isRequestMessage<Message>) {
            const auto& head = this->parser->content.get();
            if (this->parser->content.is_header_done() && !isInterimStatus(head.result_int()) && !isFinalStatus(head.result_int())) {
                progress = ReadProgress::Malformed;
                break;
            }
        }
        if (this->parser->content.is_done()) {
            if constexpr (!isRequestMessage<Message>) {
                if (isInterimStatus(this->parser->content.get().result_int())) {
                    // An interim (1xx) response; the final one follows.
                    this->parser.reset();
                    if (++this->interimCount > maxInterimResponses) {
                        progress = ReadProgress::Malformed;
                        break;
                    }
                    continue;
                }
            }
            progress = ReadProgress::Complete;
            break;
        }
        if (taken == 0) {
            break;
        }
    }
    buffer.erase(0, consumed);
    if (progress == ReadProgress::Incomplete && buffer.size() > this->limits.maxHeadBytes) {
        // The parser takes body bytes at once. What it leaves is an unfinished line, which it would wait for without a
        // limit in a chunk's size line and in trailers.
        return ReadProgress::HeadTooLarge;
    }
    return progress;
}

template <typename Message>
ReadProgress MessageReader<Message>::readEnd()
{
    if (!this->parser) {
        return ReadProgress::Incomplete;
    }
    boost::beast::error_code error;
    this->parser->content.put_eof(error);
    return !error && this->parser->content.is_done() ? ReadProgress::Complete : ReadProgress::Malformed;
}

template <typename Message>
std::size_t MessageReader<Message>::bodyBytes() const noexcept
{
    return this->parser ? this->parser->content.get().body().bytes.size() : 0;
}

template <typename Message>
bool MessageReader<Message>::isHeadComplete() const noexcept
{
    return this->parser && this->parser->content.is_header_done() && !this->parser->content.is_done();
}

template <typename Message>
std::optional<std::uint64_t> MessageReader<Message>::declaredLength() const
{
    const auto length = this->parser->content.content_length();
    return length && !this->parser->content.chunked() ? std::optional { *length } : std::nullopt;
}

template <typename Message>
std::string MessageReader<Message>::takeBody()
{
    return std::exchange(this->parser->content.get().body().bytes, {});
}

template <typename Message>
Message MessageReader<Message>::head() const
{
    Message message;
    message.keepsAlive = this->parser->content.keep_alive();
    const auto& parsed = this->parser->content.get();
    if constexpr (isRequestMessage<Message>) {
        message.method = toString(parsed.method_string());
        message.target = toString(parsed.target());
        message.acceptsChunks = parsed.version() >= 11;
    } else {
        message.status = parsed.result_int();
    }
    for (const auto& field : parsed) {
        message.headers.push_back({ toString(field.name_string()), toString(field.value()) });
    }
    return message;
}

template <typename Message>
Message MessageReader<Message>::take()
{
    auto message = this->head();
    message.body = std::move(this->parser->content.get().body().bytes);
    this->parser.reset();
    this->isBodyless = false;
    this->isTakenInPieces = false;
    this->interimCount = 0;
    return message;
}

template class MessageReader<ReceivedRequest>;
template class MessageReader<ReceivedResponse>;

void appendRequestHead(std::string& out, std::string_view method, std::string_view target)
{
    out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
}

void appendHeader(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void appendStatusLine(std::string& out, unsigned status)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason.data(), reason.size()).append("\r\n");
}

void appendBody(std::string& out, std::string_view body, bool isLengthNeeded)
{
    if (isLengthNeeded || !body.empty()) {
        appendHeader(out, "Content-Length", std::to_string(body.size()));
    }
    out.append("\r\n").append(body);
}

bool isHopByHopHeader(std::string_view name) noexcept
{
    static constexpr std::array<std::string_view, 10> names { "Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };
    return std::ranges::any_of(names, [name](std::string_view listed) { return isSameHeaderName(listed, name); });
}

}
