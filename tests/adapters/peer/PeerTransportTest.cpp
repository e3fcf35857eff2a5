#include "adapters/peer/PeerTransport.h"

#include "adapters/codec/Codec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include <chrono>
#include <deque>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace teaselturn;

namespace {

const std::vector<std::uint8_t> clusterKey { 1, 2, 3, 4, 5, 6, 7, 8 };
/// Far longer than any step takes; a test fails if it waits this long.
constexpr std::chrono::seconds waitTimeout { 20 };

/// Collects the messages that a transport receives.
class Inbox {
public:
    using Item = std::pair<NodeId, PeerMessage>;

    PeerTransport::Handler handler()
    {
        return [this](NodeId from, const PeerMessage& message) {
            const MutexLock lock { this->mutex };
            this->items.emplace_back(from, message);
            this->changed.notifyAll();
        };
    }

    /// Waits for the next message.
    /// @return Nothing if none arrives within waitTimeout.
    std::optional<Item> next()
    {
        const MutexLock lock { this->mutex };
        while (this->items.empty()) {
            const auto before = this->items.size();
            this->changed.waitFor(this->mutex, waitTimeout);
            if (this->items.size() == before) {
                return std::nullopt;
            }
        }
        auto item = std::move(this->items.front());
        this->items.pop_front();
        return item;
    }

private:
    Mutex mutex;
    ConditionVariable changed;
    std::deque<Item> items ABSL_GUARDED_BY(mutex);
};

std::unique_ptr<PeerTransport> startTransport(NodeId self, Inbox& inbox, Endpoint endpoint = { "127.0.0.1", 0 }, BootId boot = BootId { 1 })
{
    auto transport = PeerTransport::Builder {}.identity(self, boot).listenOn(std::move(endpoint)).clusterKey(clusterKey).handler(inbox.handler()).start();
    REQUIRE(transport);
    return std::move(*transport);
}

/// Two transports that list each other as peers.
struct TransportPair {
    Inbox inboxes[2];
    std::unique_ptr<PeerTransport> first { startTransport(NodeId { 1 }, inboxes[0]) };
    std::unique_ptr<PeerTransport> second { startTransport(NodeId { 2 }, inboxes[1]) };

    TransportPair()
    {
        const std::vector<PeerAddress> peers { { NodeId { 1 }, first->localEndpoint() }, { NodeId { 2 }, second->localEndpoint() } };
        REQUIRE(this->first->setPeers(peers));
        REQUIRE(this->second->setPeers(peers));
    }
};

/// Returns a message of random bytes. Compression does not shorten it, so its length determines the channel.
FeedReply longMessage(std::size_t bytes)
{
    FeedReply message;
    std::mt19937 random { 7 };
    message.snapshotBytes.resize(bytes);
    std::ranges::generate(message.snapshotBytes, [&random] { return static_cast<std::uint8_t>(random()); });
    return message;
}

/// Sends a datagram from a socket that belongs to no transport.
void sendRaw(const Endpoint& to, std::span<const std::uint8_t> bytes)
{
    const auto address = toSocketAddress(to);
    REQUIRE(address);
    const FileDescriptor socket { ::socket(AF_INET, SOCK_DGRAM, 0) };
    REQUIRE(sendto(socket.number(), bytes.data(), bytes.size(), 0, address->pointer(), address->length) == static_cast<ssize_t>(bytes.size()));
}

void waitForDrop(const PeerTransport& transport, ResultCode code, std::uint64_t count)
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (transport.counters().dropped(code) < count && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds { 5 });
    }
    CHECK(transport.counters().dropped(code) == count);
}

}

TEST_CASE("short and long messages arrive whole, in both directions")
{
    // Up to 1,080 snapshot bytes fit in a datagram. Longer messages go over a stream; the longest exceeds the socket
    // buffers several times.
    TransportPair pair;
    for (const auto bytes : { std::size_t { 10 }, std::size_t { 1'080 }, std::size_t { 1'200 }, std::size_t { 100'000 }, limits::maxMessageBytes - 100 }) {
        const PeerMessage message = longMessage(bytes);
        pair.first->send(NodeId { 2 }, message);
        const auto receivedBySecond = pair.inboxes[1].next();
        REQUIRE(receivedBySecond.has_value());
        CHECK(receivedBySecond->first == NodeId { 1 });
        CHECK((receivedBySecond->second == message));
        pair.second->send(NodeId { 1 }, message);
        const auto receivedByFirst = pair.inboxes[0].next();
        REQUIRE(receivedByFirst.has_value());
        CHECK((receivedByFirst->second == message));
    }
}

TEST_CASE("a message to the process itself reaches its own handler")
{
    // An entry VM that is also a ledger member sends to its own member in this way.
    TransportPair pair;
    pair.first->send(NodeId { 1 }, FeedRequest { 7, {}, {}, 0 });
    const auto item = pair.inboxes[0].next();
    REQUIRE(item.has_value());
    CHECK(item->first == NodeId { 1 });
    CHECK(std::get<FeedRequest>(item->second).sequence == 7);
}

TEST_CASE("forged, replayed and misdirected frames and frames of unknown senders are counted and dropped")
{
    TransportPair pair;
    const auto payload = encodeMessage(FeedRequest { 7, {}, {}, 0 });
    const auto type = payload.front();
    const auto to = pair.second->localEndpoint();
    const FrameHeader header { NodeId { 1 }, NodeId { 2 }, BootId { 1 }, 1, FrameChannel::Datagram, type };
    const auto frame = encodeFrame(header, payload, clusterKey);
    sendRaw(to, frame);
    CHECK(pair.inboxes[1].next().has_value());

    sendRaw(to, frame);
    waitForDrop(*pair.second, ResultCode::MessageReplayed, 1);
    auto toOther = header;
    toOther.receiver = NodeId { 3 };
    toOther.sequence = 2;
    sendRaw(to, encodeFrame(toOther, payload, clusterKey));
    waitForDrop(*pair.second, ResultCode::MessageUnknownPeer, 1);
    auto fromUnknownSender = header;
    fromUnknownSender.sender = NodeId { 9 };
    sendRaw(to, encodeFrame(fromUnknownSender, payload, clusterKey));
    waitForDrop(*pair.second, ResultCode::MessageUnknownPeer, 2);
    const std::vector<std::uint8_t> otherKey { 1 };
    sendRaw(to, encodeFrame(header, payload, otherKey));
    waitForDrop(*pair.second, ResultCode::MessageUnauthenticated, 1);
    // Replays a frame of the stream as a datagram. Its sequence may be unused on the datagram channel.
    auto fromStream = header;
    fromStream.sequence = 2;
    fromStream.channel = FrameChannel::Stream;
    sendRaw(to, encodeFrame(fromStream, payload, clusterKey));
    waitForDrop(*pair.second, ResultCode::MessageReplayed, 2);
    sendRaw(to, payload);
    waitForDrop(*pair.second, ResultCode::MessageMalformed, 1);
    auto wrongType = header;
    wrongType.sequence = 3;
    wrongType.type = static_cast<std::uint8_t>(type + 1);
    sendRaw(to, encodeFrame(wrongType, payload, clusterKey));
    waitForDrop(*pair.second, ResultCode::MessageMalformed, 2);
    sendRaw(to, std::vector<std::uint8_t>(limits::maxDatagramBytes + 200, 0));
    waitForDrop(*pair.second, ResultCode::MessageTooLarge, 1);
}

TEST_CASE("a restarted peer receives long messages again, and its sequences start anew")
{
    // Guards against losing messages on the connection to the previous process, and against dropping the messages of
    // the restarted process as replays.
    TransportPair pair;
    pair.first->send(NodeId { 2 }, longMessage(5'000));
    REQUIRE(pair.inboxes[1].next().has_value());
    pair.second->send(NodeId { 1 }, FeedRequest { 1, {}, {}, 0 });
    REQUIRE(pair.inboxes[0].next().has_value());
    const auto endpoint = pair.second->localEndpoint();
    pair.second.reset();
    pair.second = startTransport(NodeId { 2 }, pair.inboxes[1], endpoint, BootId { 2 });
    const std::vector<PeerAddress> peers { { NodeId { 1 }, pair.first->localEndpoint() }, { NodeId { 2 }, endpoint } };
    REQUIRE(pair.second->setPeers(peers));
    pair.second->send(NodeId { 1 }, FeedRequest { 2, {}, {}, 0 });
    const auto item = pair.inboxes[0].next();
    REQUIRE(item.has_value());
    CHECK(std::get<FeedRequest>(item->second).sequence == 2);
    // The first message may be lost on the closed connection, so the sender repeats it.
    std::atomic<bool> arrived { false };
    std::thread sender { [&pair, &arrived] {
        while (!arrived) {
            pair.first->send(NodeId { 2 }, longMessage(6'000));
            std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
        }
    } };
    const auto received = pair.inboxes[1].next();
    arrived = true;
    sender.join();
    REQUIRE(received.has_value());
}

TEST_CASE("a long message that compresses well is sent as one datagram")
{
    TransportPair pair;
    FeedReply message;
    message.snapshotBytes.assign(100'000, 0x5a);
    pair.first->send(NodeId { 2 }, message);
    const auto received = pair.inboxes[1].next();
    REQUIRE(received.has_value());
    CHECK((received->second == PeerMessage { message }));
    CHECK(pair.first->counters().sentBytes < limits::maxDatagramBytes);
}

TEST_CASE("sending to a peer that is down or not listed does not block")
{
    TransportPair pair;
    pair.second.reset();
    for (int i = 0; i < 100; ++i) {
        pair.first->send(NodeId { 2 }, longMessage(limits::maxMessageBytes - 100));
    }
    pair.first->send(NodeId { 8 }, FeedRequest {});
    CHECK(pair.first->counters().dropped(ResultCode::MessageUnknownPeer) == 1);
    pair.first->send(NodeId { 2 }, longMessage(limits::maxMessageBytes + 1));
    CHECK(pair.first->counters().dropped(ResultCode::MessageTooLarge) == 1);
}

TEST_CASE("bytes that are not a frame close the connection")
{
    TransportPair pair;
    const auto address = toSocketAddress(pair.second->localEndpoint());
    REQUIRE(address);
    const FileDescriptor socket { ::socket(AF_INET, SOCK_STREAM, 0) };
    REQUIRE(connect(socket.number(), address->pointer(), address->length) == 0);
    const std::vector<std::uint8_t> bytes(frameHeaderBytes, 'x');
    REQUIRE(send(socket.number(), bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
    std::uint8_t byte = 0;
    CHECK(recv(socket.number(), &byte, 1, 0) <= 0);
    waitForDrop(*pair.second, ResultCode::MessageMalformed, 1);
}

TEST_CASE("starting on a port in use fails")
{
    TransportPair pair;
    Inbox inbox;
    const auto second = PeerTransport::Builder {}.identity(NodeId { 3 }, BootId { 1 }).listenOn(pair.first->localEndpoint()).handler(inbox.handler()).start();
    REQUIRE(!second);
    CHECK(second.error() == ResultCode::ListenFailed);
}
