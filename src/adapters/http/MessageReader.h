#pragma once

#include "adapters/http/BufferBudget.h"
#include "adapters/http/HttpTypes.h"
#include "teaselturn/Result.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Incremental reading and writing of HTTP/1.1 messages for connections on a reactor. Uses Boost.Beast, because
/// cpp-httplib, which HttpCodec uses, can only read from blocking connections.
namespace teaselturn {

/// Limits of one message.
struct ReadLimits {
    std::size_t maxHeadBytes { 16 * 1024 };
    std::size_t maxBodyBytes { limits::maxBodyBytes };
};

/// A complete request.
struct ReceivedRequest {
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    /// True if the connection may carry another request.
    bool keepsAlive {};
    /// True if the sender understands chunked responses (HTTP/1.1).
    bool acceptsChunks {};
    /// Null if the message is too small to be counted.
    std::shared_ptr<BufferReservation> reservation;
    /// When its head was read, if the body is large and shares a link of limited speed with others.
    std::optional<Instant> headReadAt {};

    /// @return The value of the first header of that name, or an empty view.
    std::string_view header(std::string_view name) const noexcept;
};

/// A complete response.
struct ReceivedResponse {
    unsigned status {};
    std::vector<HttpHeader> headers;
    std::string body;
    bool keepsAlive {};
    /// Null if the message is too small to be counted.
    std::shared_ptr<BufferReservation> reservation;

    std::string_view header(std::string_view name) const noexcept;
};

/// State of a message after reading more bytes.
enum class ReadProgress : std::uint8_t {
    /// More bytes are needed.
    Incomplete,
    Complete,
    /// The bytes are not a valid message.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/// Reads consecutive messages. Bytes of the next message stay in the caller's buffer.
/// @tparam Message ReceivedRequest or ReceivedResponse.
template <typename Message>
class MessageReader {
public:
    explicit MessageReader(ReadLimits limits);
    ~MessageReader();
    MessageReader(MessageReader&&) noexcept;
    MessageReader& operator=(MessageReader&&) noexcept;

    void setLimits(ReadLimits newLimits) noexcept { this->limits = newLimits; }

    /// Declares that the next response has no body because it responds to a HEAD request.
    void expectNoBody() noexcept { this->isBodyless = true; }

    /// Declares that the body of the next message is taken in pieces with takeBody(). Its size has no limit then.
    void expectPieces() noexcept { this->isTakenInPieces = true; }

    /// Parses bytes from the front of the buffer and removes them.
    ReadProgress read(std::string& buffer);

    /// Handles an orderly end of the connection, which completes a response without declared length.
    ReadProgress readEnd();

    /// Returns the message and prepares for the next one. Requires that the last read returned Complete.
    Message take();

    /// @return True if the head of a message was read and its body was not read completely.
    bool isHeadComplete() const noexcept;
    /// @return The length that the head declares; empty for a body that comes in chunks or ends with the connection.
    /// Requires isHeadComplete().
    std::optional<std::uint64_t> declaredLength() const;
    /// @return The message that is being read, without its body. Requires isHeadComplete().
    Message head() const;
    /// Removes and returns the body bytes that have been read. Requires a message that is being read.
    std::string takeBody();

    /// @return Body bytes of the message that is being read.
    std::size_t bodyBytes() const noexcept;

    /// @return True if a message was partly read.
    bool isWithinMessage() const noexcept { return this->parser != nullptr; }

private:
    struct Parser;

    ReadLimits limits;
    bool isBodyless {};
    bool isTakenInPieces {};
    /// Interim responses since the last message.
    std::size_t interimCount {};
    std::unique_ptr<Parser> parser;
};

/// These functions write messages. appendBody() writes the framing headers, so callers must not append them.
void appendRequestHead(std::string& out, std::string_view method, std::string_view target);
void appendHeader(std::string& out, std::string_view name, std::string_view value);
void appendStatusLine(std::string& out, unsigned status);
/// Ends the head and appends the body, with a Content-Length if needed.
/// @param isLengthNeeded False for a message that may have no body, such as a GET request.
void appendBody(std::string& out, std::string_view body, bool isLengthNeeded);

/// @return True for headers that apply to a single connection or describe the framing.
bool isHopByHopHeader(std::string_view name) noexcept;

}
