#pragma once

#include "adapters/http/HttpTypes.h"
#include "teaselturn/Result.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages read from bytes as they arrive, for connections that wait in a reactor. Boost.Beast parses;
/// cpp-httplib, which the other parts use, reads from blocking connections only.
namespace teaselturn {

/// Limits of one message.
struct ReadLimits {
    std::size_t maxHeadBytes { 16 * 1024 };
    std::size_t maxBodyBytes { limits::maxBodyBytes };
};

/// A whole request.
struct ReceivedRequest {
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    /// True where the connection may serve another request.
    bool keepsAlive {};

    /// @return The value of the first header of that name, or an empty view.
    std::string_view header(std::string_view name) const noexcept;
};

/// A whole response.
struct ReceivedResponse {
    unsigned status {};
    std::vector<HttpHeader> headers;
    std::string body;
    bool keepsAlive {};

    std::string_view header(std::string_view name) const noexcept;
};

/// What a reader makes of the bytes so far.
enum class ReadProgress : std::uint8_t {
    /// More bytes are needed.
    Incomplete,
    Complete,
    /// The bytes are no message.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/// Reads one message after another. Bytes that belong to the next message stay in the buffer of the caller.
/// @tparam Message ReceivedRequest or ReceivedResponse.
template <typename Message>
class MessageReader {
public:
    explicit MessageReader(ReadLimits limits);
    ~MessageReader();
    MessageReader(MessageReader&&) noexcept;
    MessageReader& operator=(MessageReader&&) noexcept;

    void setLimits(ReadLimits newLimits) noexcept { this->limits = newLimits; }

    /// Tells that the next response answers a HEAD request and has no body.
    void expectNoBody() noexcept { this->isBodyless = true; }

    /// Takes bytes from the front of the buffer.
    ReadProgress read(std::string& buffer);

    /// Tells that the connection ended in good order: a response without length is complete then.
    ReadProgress readEnd();

    /// @return The message. Requires that the last call returned Complete; the reader then begins the next message.
    Message take();

    /// @return True where part of a message was read.
    bool isWithinMessage() const noexcept { return this->parser != nullptr; }

private:
    struct Parser;

    ReadLimits limits;
    bool isBodyless {};
    std::unique_ptr<Parser> parser;
};

/// Writes messages. Headers that describe the framing are the writer's own.
void appendRequestHead(std::string& out, std::string_view method, std::string_view target);
void appendHeader(std::string& out, std::string_view name, std::string_view value);
void appendStatusLine(std::string& out, unsigned status);
/// Ends the head and adds the body with its length.
/// @param isLengthNeeded False for a message that may have no body, such as a GET request.
void appendBody(std::string& out, std::string_view body, bool isLengthNeeded);

/// @return True for headers that concern one connection only or describe the framing.
bool isHopByHopHeader(std::string_view name) noexcept;

}
