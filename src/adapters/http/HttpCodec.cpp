#include "adapters/http/HttpCodec.h"

#include "adapters/clock/SteadyClock.h"
#include "adapters/http/ChunkFraming.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <httplib.h>
#include <optional>

namespace teaselturn {

namespace {

    constexpr std::size_t flushBytes = 64 * 1024;
    constexpr int statusBadRequest = 400;
    constexpr int statusRequestTimeout = 408;
    constexpr int statusPayloadTooLarge = 413;
    constexpr int statusInternalError = 500;

    /// Escapes % as %25 in the header lines of a message. The library decodes %XX in header values, which would alter
    /// keys and let a caller inject line breaks into a header; with the escaping, decoding restores the original value.
    class HeadEscaper {
    public:
        bool isInHead() const noexcept { return !this->isHeadDone; }

        /// @return True if "25" must be inserted after the byte.
        bool accept(char byte) noexcept
        {
            if (byte == '\n') {
                if (this->isLineEmpty && !this->isFirstLine && this->matchedBytes == interimLine.size()) {
                    // The library skips the head of an interim response and reads another one.
                    *this = {};
                    return false;
                }
                this->isHeadDone = this->isLineEmpty && !this->isFirstLine;
                this->isFirstLine = false;
                this->isLineEmpty = true;
                return false;
            }
            if (byte != '\r') {
                this->isLineEmpty = false;
            }
            if (this->isFirstLine) {
                this->matchInterim(byte);
            }
            return byte == '%' && !this->isFirstLine;
        }

    private:
        /// Beginning of an interim response. The question mark stands for any byte.
        static constexpr std::string_view interimLine { "HTTP/1.? 100" };

        void matchInterim(char byte) noexcept
        {
            if (this->mayBeInterim && this->matchedBytes < interimLine.size()) {
                const char expected = interimLine[this->matchedBytes];
                this->mayBeInterim = expected == '?' || expected == byte;
                this->matchedBytes += this->mayBeInterim ? 1 : 0;
            }
        }

        bool isFirstLine { true };
        bool isLineEmpty { true };
        bool isHeadDone {};
        bool mayBeInterim { true };
        std::size_t matchedBytes {};
    };

    /// Adapts a Connection to the library's stream interface. Limits the input and buffers the output until the next
    /// read.
    class ConnectionStream : public httplib::Stream {
    public:
        ConnectionStream(Connection& connection, const MessageLimits& limits, Instant deadline)
            : connection(connection)
            , headBudget(limits.maxHeadBytes)
            , bodyBudget(limits.maxBodyBytes + bodyFramingBytes)
            , deadline(deadline)
        {
        }

        bool is_readable() const override { return true; }
        bool is_writable() const override { return true; }
        void get_remote_ip_and_port(std::string& ip, int&) const override { ip = this->connection.remoteIp(); }
        void get_local_ip_and_port(std::string&, int&) const override { }
        // The library rejects descriptors that select() does not support, so the real one is hidden from it.
        socket_t socket() const override { return 0; }

        ssize_t read(char* target, std::size_t size) override
        {
            if (!this->flush()) {
                return -1;
            }
            if (size == 0) {
                return 0;
            }
            if (this->escapeRest > 0) {
                *target = "25"[2 - this->escapeRest--];
                return 1;
            }
            const bool isHead = this->escaper.isInHead();
            auto& budget = isHead ? this->headBudget : this->bodyBudget;
            if (budget == 0) {
                this->isOverBudget = true;
                return -1;
            }
            std::size_t count = 0;
            this->status = this->connection.read({ target, isHead ? 1 : std::min(size, budget) }, count, this->deadline);
            if (this->status != IoStatus::Ok) {
                // The library takes a line that is cut off by an orderly end (0) for a whole one, and a chunk without the
                // line end behind it for the last one. No accepted message is delimited by the end of its connection.
                return -1;
            }
            this->received += count;
            budget -= count;
            if (this->chunks && !this->chunks->accept({ target, count })) {
                return -1;
            }
            if (isHead && this->escaper.accept(*target)) {
                this->escapeRest = 2;
            }
            return static_cast<ssize_t>(count);
        }

        ssize_t write(const char* bytes, std::size_t size) override
        {
            this->output.append(bytes, size);
            return this->output.size() < flushBytes || this->flush() ? static_cast<ssize_t>(size) : -1;
        }

        bool flush()
        {
            if (!this->output.empty() && !this->isOutputBroken) {
                this->status = this->connection.write(this->output, this->deadline, this->progressTimeout);
                this->output.clear();
                this->isOutputBroken = this->status != IoStatus::Ok;
            }
            return !this->isOutputBroken;
        }

        /// Declares that the bytes after those read so far are a chunked body. Reading fails where it is malformed.
        void expectChunks() { this->chunks.emplace(); }

        void beginResponse(Instant now, WriteTimeouts timeouts) noexcept
        {
            this->deadline = now + timeouts.total;
            this->progressTimeout = timeouts.progress;
        }
        IoStatus lastStatus() const noexcept { return this->status; }
        std::uint64_t receivedBytes() const noexcept { return this->received; }
        bool exceededBudget() const noexcept { return this->isOverBudget; }

    private:
        /// Number of bytes added to the maximum body size for the chunk sizes and trailers of a chunked body.
        static constexpr std::size_t bodyFramingBytes = 256 * 1024;

        Connection& connection;
        HeadEscaper escaper;
        int escapeRest {};
        std::optional<ChunkFraming> chunks;
        std::size_t headBudget;
        std::size_t bodyBudget;
        bool isOverBudget {};
        IoStatus status { IoStatus::Ok };
        std::uint64_t received {};
        Instant deadline;
        Duration progressTimeout { Duration::max() };
        std::string output;
        bool isOutputBroken {};
    };

    std::optional<std::uint64_t> parseLength(const std::string& text)
    {
        std::uint64_t length = 0;
        const auto* end = text.data() + text.size();
        const auto [rest, error] = std::from_chars(text.data(), end, length);
        return error == std::errc {} && rest == end ? std::optional { length } : std::nullopt;
    }

    /// Length of a message's body according to its headers.
    struct BodyFraming {
        bool isValid { true };
        bool isChunked {};
        std::optional<std::uint64_t> length;
    };

    BodyFraming bodyFraming(const httplib::Headers& headers)
    {
        BodyFraming framing;
        const auto lengths = headers.count("Content-Length");
        const auto encodings = headers.count("Transfer-Encoding");
        if (lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1)) {
            // Request smuggling: two servers that choose different lengths would see different requests.
            framing.isValid = false;
        } else if (encodings == 1) {
            framing.isChunked = isSameHeaderName(headers.find("Transfer-Encoding")->second, "chunked");
            framing.isValid = framing.isChunked;
        } else if (lengths == 1) {
            framing.length = parseLength(headers.find("Content-Length")->second);
            framing.isValid = framing.length.has_value();
        }
        return framing;
    }

    bool isLibraryHeader(std::string_view name)
    {
        constexpr std::string_view names[] = { "REMOTE_ADDR", "REMOTE_PORT", "LOCAL_ADDR", "LOCAL_PORT" };
        return std::any_of(std::begin(names), std::end(names),
            [name](std::string_view other) { return isSameHeaderName(name, other); });
    }

}

class ServerCodec::Implementation : public httplib::Server {
public:
    Implementation(MessageLimits limits, std::function<bool()> isDraining)
        : limits(limits)
        , isDraining(std::move(isDraining))
    {
        const auto handle = [this](const httplib::Request& request, httplib::Response& response) {
            this->handle(request, response);
        };
        this->Get("/", handle).Post("/", handle).Put("/", handle).Patch("/", handle).Delete("/", handle);
        this->Options("/", handle);
        this->set_post_routing_handler(
            [this](const httplib::Request&, httplib::Response& response) { this->finishHead(response); });
        this->set_payload_max_length(limits.maxBodyBytes);
    }

    bool serve(Connection& connection, const HttpHandler& application, Instant readDeadline, WriteTimeouts writeTimeouts)
    {
        ConnectionStream stream { connection, this->limits, readDeadline };
        this->current = { &application, &stream, writeTimeouts };
        bool isClosedByClient = false;
        const bool isProcessed = this->process_request(
            stream, false, isClosedByClient, [this](httplib::Request& request) { this->capture(request); });
        const bool isWritten = stream.flush();
        const bool canKeep = isProcessed && isWritten && !isClosedByClient && !this->current.closesAfterResponse;
        this->current = {};
        return canKeep;
    }

private:
    struct Current {
        const HttpHandler* application {};
        ConnectionStream* stream {};
        WriteTimeouts writeTimeouts {};
        int rejectionStatus {};
        bool isHandled {};
        bool closesAfterResponse {};
        std::string target;
        std::vector<HttpHeader> headers;
    };

    /// Moves the headers out of the library's request. Otherwise the library would decode bodies, parse forms, apply
    /// ranges and compress responses, which a router must pass through unchanged.
    void capture(httplib::Request& request)
    {
        this->current.target = request.target;
        for (const auto& [name, value] : request.headers) {
            if (!isLibraryHeader(name)) {
                this->current.headers.push_back({ name, value });
            }
        }
        const auto framing = bodyFraming(request.headers);
        const bool expectsContinue = request.headers.count("Expect") == 1;
        const bool isLast = isSameHeaderName(request.get_header_value("Connection"), "close");
        request.headers.clear();
        request.ranges.clear();
        request.path = "/";
        const bool mayHaveBody = request.method != "GET" && request.method != "HEAD" && request.method != "OPTIONS";
        const bool hasBody = framing.isChunked || framing.length.value_or(0) > 0;
        if (!framing.isValid || (hasBody && !mayHaveBody)) {
            this->current.rejectionStatus = statusBadRequest;
        } else if (framing.length.value_or(0) > this->limits.maxBodyBytes) {
            this->current.rejectionStatus = statusPayloadTooLarge;
        }
        if (framing.isChunked && this->current.rejectionStatus == 0) {
            request.set_header("Transfer-Encoding", "chunked");
            this->current.stream->expectChunks();
        } else {
            // Without a length, the library would read until the connection closes.
            const auto length = this->current.rejectionStatus == 0 ? framing.length.value_or(0) : 0;
            request.set_header("Content-Length", std::to_string(length));
        }
        if (expectsContinue && this->current.rejectionStatus == 0) {
            request.set_header("Expect", "100-continue");
        }
        if (isLast) {
            request.set_header("Connection", "close");
        }
    }

    void handle(const httplib::Request& request, httplib::Response& response)
    {
        if (this->current.rejectionStatus != 0) {
            response.status = this->current.rejectionStatus;
            return;
        }
        if (request.body.size() > this->limits.maxBodyBytes) {
            response.status = statusPayloadTooLarge;
            return;
        }
        std::vector<HttpHeaderView> views;
        views.reserve(this->current.headers.size());
        for (const auto& header : this->current.headers) {
            views.push_back({ header.name, header.value });
        }
        HttpResponse applicationResponse;
        try {
            applicationResponse = (*this->current.application)(
                { request.method, this->current.target, views, request.body, request.remote_addr });
        } catch (const std::exception&) {
            response.status = statusInternalError;
            return;
        }
        this->current.isHandled = true;
        response.status = applicationResponse.status;
        for (auto& header : applicationResponse.headers) {
            const bool isFraming = isSameHeaderName(header.name, "Transfer-Encoding")
                || isSameHeaderName(header.name, "Connection")
                || (isSameHeaderName(header.name, "Content-Length") && request.method != "HEAD");
            if (!isFraming && isHeaderValue(header.name) && isHeaderValue(header.value)) {
                response.headers.emplace(std::move(header.name), std::move(header.value));
            }
        }
        response.body = std::move(applicationResponse.body);
    }

    void finishHead(httplib::Response& response)
    {
        const auto now = SteadyClock {}.now();
        auto& stream = *this->current.stream;
        if (!this->current.isHandled && this->current.rejectionStatus == 0 && response.status != statusInternalError
            && response.status != statusPayloadTooLarge) {
            response.status = stream.exceededBudget() ? statusPayloadTooLarge
                : stream.lastStatus() == IoStatus::TimedOut
                ? statusRequestTimeout
                : (response.status >= statusBadRequest ? response.status : statusBadRequest);
        }
        stream.beginResponse(now, this->current.writeTimeouts);
        response.headers.erase("Keep-Alive");
        // After an error, the start of the next request in the input is unknown.
        this->current.closesAfterResponse = !this->current.isHandled || this->isDraining();
        if (this->current.closesAfterResponse) {
            response.headers.erase("Connection");
            response.set_header("Connection", "close");
        }
    }

    const MessageLimits limits;
    const std::function<bool()> isDraining;
    Current current;
};

namespace {

    class ClientCodec : public httplib::ClientImpl {
    public:
        ClientCodec()
            : ClientImpl("127.0.0.1", 1)
        {
            this->set_url_encode(false);
            this->set_decompress(false);
            this->set_keep_alive(true);
        }

        using ClientImpl::process_request;
    };

    /// A stream that returns one fixed message and discards what is written to it.
    class CannedStream : public httplib::Stream {
    public:
        explicit CannedStream(std::string_view input)
            : input(input)
        {
        }

        bool is_readable() const override { return true; }
        bool is_writable() const override { return true; }
        void get_remote_ip_and_port(std::string&, int&) const override { }
        void get_local_ip_and_port(std::string&, int&) const override { }
        socket_t socket() const override { return 0; }

        ssize_t read(char* target, std::size_t size) override
        {
            const auto count = this->input.copy(target, size);
            this->input.remove_prefix(count);
            return static_cast<ssize_t>(count);
        }

        ssize_t write(const char*, std::size_t size) override { return static_cast<ssize_t>(size); }

    private:
        std::string_view input;
    };

    class CannedServer : public httplib::Server {
    public:
        bool run()
        {
            CannedStream stream { "GET / HTTP/1.1\r\nHost: localhost\r\nAccept: */*\r\n\r\n" };
            bool isClosed = false;
            return this->process_request(stream, true, isClosed, {});
        }
    };

    bool readCannedResponse()
    {
        CannedStream stream { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx" };
        httplib::Request request;
        request.method = "GET";
        request.path = "/";
        httplib::Response response;
        auto error = httplib::Error::Success;
        return ClientCodec {}.process_request(stream, request, response, false, error);
    }

    /// Makes the library initialize its function-local statics on one thread. The library is built without
    /// ThreadSanitizer, which would report their initialization on several threads as a data race.
    void initializeLibrary()
    {
        static const bool isDone = CannedServer {}.run() && readCannedResponse();
        static_cast<void>(isDone);
    }

}

ServerCodec::ServerCodec(MessageLimits limits, std::function<bool()> isDraining)
    : implementation(std::make_unique<Implementation>(limits, std::move(isDraining)))
{
    initializeLibrary();
}

ServerCodec::~ServerCodec() = default;

bool ServerCodec::serve(
    Connection& connection, const HttpHandler& handler, Instant readDeadline, WriteTimeouts writeTimeouts)
{
    return this->implementation->serve(connection, handler, readDeadline, writeTimeouts);
}

namespace {

    /// Checks the head of a response and collects its body while the library reads it.
    struct ResponseObserver {
        std::string body;
        std::size_t maxBodyBytes {};
        bool hasHead {};
        bool isCompleteAfterHead {};
        bool isChunked {};
        bool isRejected {};

        /// @return False if the library must not read a body.
        bool head(std::string_view method, const httplib::Response& response)
        {
            constexpr int notModified = 304;
            constexpr int noContent = 204;
            this->hasHead = true;
            const auto framing = bodyFraming(response.headers);
            if (!framing.isValid || response.status < 0 || !isFinalStatus(static_cast<unsigned>(response.status)) || framing.length.value_or(0) > this->maxBodyBytes) {
                this->isRejected = true;
                return false;
            }
            if (method == "HEAD" || response.status == notModified || response.status == noContent) {
                this->isCompleteAfterHead = true;
                return false;
            }
            // A response that is delimited by the end of the connection cannot be distinguished from a truncated one.
            this->isChunked = framing.isChunked;
            this->isRejected = !framing.isChunked && !framing.length;
            return !this->isRejected;
        }

        bool append(const char* bytes, std::size_t count)
        {
            if (this->body.size() + count > this->maxBodyBytes) {
                this->isRejected = true;
                return false;
            }
            this->body.append(bytes, count);
            return true;
        }
    };

    httplib::Request toLibrary(const HttpRequest& request, ResponseObserver& observer, ConnectionStream& stream)
    {
        httplib::Request result;
        result.method = request.method;
        result.path = request.target;
        for (const auto& header : request.headers) {
            if (isHeaderValue(header.name) && isHeaderValue(header.value)) {
                result.headers.emplace(header.name, header.value);
            }
        }
        result.body = request.body;
        result.response_handler = [&observer, &stream, method = request.method](const httplib::Response& response) {
            const bool hasBody = observer.head(method, response);
            if (hasBody && observer.isChunked) {
                stream.expectChunks();
            }
            return hasBody;
        };
        result.content_receiver = [&observer](const char* bytes, std::size_t count, std::uint64_t, std::uint64_t) {
            return observer.append(bytes, count);
        };
        return result;
    }

    ExchangeStatus failedStatus(const ConnectionStream& stream, bool isSent)
    {
        if (!isSent) {
            return ExchangeStatus::NotSent;
        }
        if (stream.lastStatus() == IoStatus::TimedOut) {
            return ExchangeStatus::TimedOut;
        }
        return stream.receivedBytes() > 0 ? ExchangeStatus::Incomplete : ExchangeStatus::Broken;
    }

}

Exchange exchange(Connection& connection, const HttpRequest& request, const MessageLimits& limits, Instant deadline)
{
    initializeLibrary();
    ClientCodec codec;
    ResponseObserver observer;
    observer.maxBodyBytes = limits.maxBodyBytes;
    ConnectionStream stream { connection, limits, deadline };
    auto outgoing = toLibrary(request, observer, stream);
    httplib::Response response;
    auto error = httplib::Error::Success;
    const auto sentBefore = connection.sentBytes();
    const bool isRead = codec.process_request(stream, outgoing, response, false, error);
    Exchange result;
    if (observer.isRejected || !(isRead || observer.isCompleteAfterHead)) {
        result.status = observer.isRejected ? ExchangeStatus::Incomplete
                                            : failedStatus(stream, connection.sentBytes() != sentBefore);
        return result;
    }
    result.status = ExchangeStatus::Complete;
    result.canReuse = !connection.hasBufferedInput() && response.version == "HTTP/1.1"
        && !isSameHeaderName(response.get_header_value("Connection"), "close");
    result.response.status = response.status;
    for (auto& [name, value] : response.headers) {
        result.response.headers.push_back({ name, value });
    }
    result.response.body = std::move(observer.body);
    return result;
}

}
