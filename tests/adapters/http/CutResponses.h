#pragma once

#include "RawUpstream.h"

#include <string>
#include <vector>

/// Responses that tests cut at every byte.
namespace teaselturn::support {

struct SampleResponse {
    std::string name;
    std::string method;
    /// The status line and headers, with interim responses before them.
    std::string head;
    /// The body with its chunk sizes and trailers.
    std::string framedBody;
    std::string body;
    /// True if only the end of the connection delimits the body.
    bool isDelimitedByEnd {};

    std::string bytes() const { return this->head + this->framedBody; }

    /// @return True if an orderly end after that many bytes leaves a complete response.
    bool isCompleteAt(std::size_t size) const
    {
        return size == this->bytes().size() || (this->isDelimitedByEnd && size >= this->head.size());
    }
};

/// @param headerLines Added to each response.
inline std::vector<SampleResponse> sampleResponses(const std::string& headerLines)
{
    const std::string status = "HTTP/1.1 200 OK\r\n" + headerLines;
    const std::string chunked = status + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string body = "0123456789ab";
    return {
        { "length", "GET", status + "Content-Length: 12\r\nX-Last: value\r\n\r\n", body, body },
        // Cut after the first digit, the length is a valid, smaller one.
        { "length before other headers", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + headerLines + "\r\n", body, body },
        { "empty body", "GET", status + "Content-Length: 0\r\n\r\n", "", "" },
        { "interim response", "GET", "HTTP/1.1 100 Continue\r\n\r\n" + status + "Content-Length: 12\r\n\r\n", body, body },
        { "chunks", "GET", chunked, "4\r\n0123\r\n8;name=value\r\n456789ab\r\n0\r\n\r\n", body },
        { "chunk with a size of two digits", "GET", chunked, "0c\r\n0123456789ab\r\n0\r\n\r\n", body },
        { "no length", "GET", status + "Connection: close\r\n\r\n", body, body, true },
    };
}

/// Responses to HEAD and responses with a status that excludes a body.
inline std::vector<SampleResponse> bodylessResponses()
{
    return {
        { "HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "", "" },
        { "HEAD without length", "HEAD", "HTTP/1.1 200 OK\r\nX-Last: value\r\n\r\n", "", "" },
        { "204", "GET", "HTTP/1.1 204 No Content\r\nX-Last: value\r\n\r\n", "", "" },
        { "304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n", "", "" },
    };
}

enum class ConnectionEnd : std::uint8_t {
    /// The peer reads the end of the input (FIN).
    Orderly,
    Reset,
};

/// Serves one connection after the other, at every loopback address: reads a request, sends bytes and ends the connection.
class CuttingUpstream {
public:
    CuttingUpstream()
    {
        this->listener = listenOn("0.0.0.0", this->listenPort).value();
        this->thread = std::thread { [this] { this->run(); } };
    }
    ~CuttingUpstream()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        ::close(this->listener);
    }
    CuttingUpstream(const CuttingUpstream&) = delete;
    CuttingUpstream& operator=(const CuttingUpstream&) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", this->listenPort }; }

    /// Sets what the next connections get.
    void setResponse(std::string newBytes, ConnectionEnd newEnd)
    {
        const MutexLock lock { this->mutex };
        this->bytes = std::move(newBytes);
        this->end = newEnd;
    }

    /// @return Number of requests that were read.
    std::size_t requestCount()
    {
        const MutexLock lock { this->mutex };
        return this->requests;
    }

private:
    void run()
    {
        while (true) {
            pollfd entry { this->listener, POLLIN, 0 };
            ::poll(&entry, 1, -1);
            const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0 && errno == EAGAIN) {
                continue;
            }
            if (descriptor < 0) {
                return;
            }
            Connection connection { descriptor };
            if (!RawUpstream::readRequest(connection).empty()) {
                this->respond(connection);
            }
        }
    }

    void respond(Connection& connection)
    {
        std::string response;
        auto responseEnd = ConnectionEnd::Orderly;
        {
            const MutexLock lock { this->mutex };
            ++this->requests;
            response = this->bytes;
            responseEnd = this->end;
        }
        RawUpstream::respond(connection, response);
        if (responseEnd == ConnectionEnd::Reset) {
            const linger reset { 1, 0 };
            setsockopt(connection.socketDescriptor(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
    }

    std::uint16_t listenPort {};
    int listener {};
    std::thread thread;
    Mutex mutex;
    std::string bytes ABSL_GUARDED_BY(mutex);
    ConnectionEnd end ABSL_GUARDED_BY(mutex) {};
    std::size_t requests ABSL_GUARDED_BY(mutex) {};
};

}
