#include "adapters/http/HttpListener.h"

#include <algorithm>
#include <array>
#include <charconv>

/// Responses whose bodies a listener sends in pieces.
namespace teaselturn {

namespace {

    constexpr std::string_view lastChunk = "0\r\n\r\n";

    std::string chunkHead(std::size_t size)
    {
        constexpr int radix = 16;
        std::array<char, sizeof size * 2> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, radix).ptr;
        std::string head { digits.data(), end };
        return head.append("\r\n");
    }

}

bool HttpListener::isWithinResponse(const Connection& connection)
{
    return !connection.exchanges.empty() && connection.exchanges.front().piecewise && connection.exchanges.front().piecewise->isHeadWritten;
}

void HttpListener::addPiece(PiecewiseResponse& response, std::string bytes)
{
    if (bytes.empty()) {
        return;
    }
    if (!response.length) {
        response.unwritten.append(chunkHead(bytes.size())).append(bytes).append("\r\n");
    } else if (response.unwritten.empty()) {
        response.unwritten = std::move(bytes);
    } else {
        response.unwritten.append(bytes);
    }
}

HttpListener::ConnectionPointer HttpListener::findRequest(HttpRequestId id)
{
    const MutexLock lock { this->mutex };
    const auto found = this->requests.find(id);
    return found == this->requests.end() ? nullptr : found->second;
}

void HttpListener::beginResponse(HttpRequestId id, OutgoingResponse head, std::optional<std::uint64_t> length)
{
    const auto connection = this->findRequest(id);
    if (!connection) {
        return;
    }
    {
        const MutexLock lock { connection->mutex };
        const auto exchange = std::ranges::find(connection->exchanges, id, &Exchange::id);
        if (connection->isClosed || connection->closing || exchange == connection->exchanges.end() || exchange->response) {
            return;
        }
        exchange->piecewise = std::make_unique<PiecewiseResponse>();
        exchange->piecewise->head = std::move(head);
        exchange->piecewise->length = length;
        PendingCallbacks callbacks;
        this->writeResponses(connection, callbacks);
        this->queueHandlers(*connection, std::move(callbacks));
    }
    connection->handlerCalls.run();
}

BodyFlow HttpListener::appendBody(HttpRequestId id, std::string bytes)
{
    const auto connection = this->findRequest(id);
    if (!connection) {
        return BodyFlow::Ended;
    }
    auto flow = BodyFlow::Ended;
    {
        const MutexLock lock { connection->mutex };
        const auto exchange = std::ranges::find(connection->exchanges, id, &Exchange::id);
        if (connection->isClosed || connection->closing || exchange == connection->exchanges.end() || !exchange->piecewise) {
            return BodyFlow::Ended;
        }
        addPiece(*exchange->piecewise, std::move(bytes));
        PendingCallbacks callbacks;
        this->writeResponses(connection, callbacks);
        const auto written = std::ranges::find(connection->exchanges, id, &Exchange::id);
        if (written != connection->exchanges.end()) {
            auto& response = *written->piecewise;
            const auto unsent = response.isHeadWritten ? connection->stream.unsentBytes() : response.unwritten.size();
            response.isWaitingForRoom = unsent >= maxUnsentBody;
            flow = response.isWaitingForRoom ? BodyFlow::Full : BodyFlow::Open;
        }
        this->queueHandlers(*connection, std::move(callbacks));
    }
    connection->handlerCalls.run();
    return flow;
}

void HttpListener::endBody(HttpRequestId id, std::string bytes)
{
    const auto connection = this->takeRequest(id);
    if (!connection) {
        return;
    }
    {
        const MutexLock lock { connection->mutex };
        const auto exchange = std::ranges::find(connection->exchanges, id, &Exchange::id);
        if (connection->isClosed || connection->closing || exchange == connection->exchanges.end() || !exchange->piecewise) {
            return;
        }
        auto& response = *exchange->piecewise;
        addPiece(response, std::move(bytes));
        if (!response.length) {
            response.unwritten.append(lastChunk);
        }
        response.isComplete = true;
        PendingCallbacks callbacks;
        this->continueExchanges(connection, callbacks);
        this->queueHandlers(*connection, std::move(callbacks));
    }
    connection->handlerCalls.run();
}

bool HttpListener::appendPieces(Connection& connection, std::string& out, PendingCallbacks& callbacks)
{
    auto& response = *connection.exchanges.front().piecewise;
    if (!std::exchange(response.isHeadWritten, true)) {
        this->appendResponseHead(connection, response.head, out, callbacks);
        appendHeader(out, response.length ? "Content-Length" : "Transfer-Encoding", response.length ? std::to_string(*response.length) : "chunked");
        out.append("\r\n");
    }
    if (!response.unwritten.empty()) {
        this->recordActivity(connection);
        auto pieces = std::exchange(response.unwritten, {});
        if (out.empty()) {
            out = std::move(pieces);
        } else {
            out.append(pieces);
        }
    }
    if (response.isBroken) {
        connection.closesAfterResponses = true;
        connection.endReason = CloseReason::ResponseBroken;
        dropLaterRequests(connection, callbacks);
    } else if (!response.isComplete) {
        return false;
    }
    if (response.head.reservation) {
        connection.unsentReservations.push_back(std::move(response.head.reservation));
    }
    connection.exchanges.pop_front();
    return true;
}

void HttpListener::dropLaterRequests(Connection& connection, PendingCallbacks& callbacks)
{
    for (auto exchange = std::next(connection.exchanges.begin()); exchange != connection.exchanges.end(); ++exchange) {
        if (!exchange->hasResponse()) {
            callbacks.disconnected.push_back(exchange->id);
        }
    }
    connection.exchanges.erase(std::next(connection.exchanges.begin()), connection.exchanges.end());
}

void HttpListener::reportRoom(Connection& connection, PendingCallbacks& callbacks)
{
    if (connection.isClosed || !isWithinResponse(connection) || connection.stream.unsentBytes() > maxUnsentBody / 2) {
        return;
    }
    auto& exchange = connection.exchanges.front();
    if (std::exchange(exchange.piecewise->isWaitingForRoom, false)) {
        callbacks.writable.push_back(exchange.id);
    }
}

}
