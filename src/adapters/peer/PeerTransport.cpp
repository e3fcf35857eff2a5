#include "adapters/peer/PeerTransport.h"

#include "adapters/codec/Codec.h"
#include "adapters/codec/Compression.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace teaselturn {

namespace {

    /// Maximum datagrams read for one event, so that other sockets are served too.
    constexpr int maxDatagramsPerEvent = 64;
    /// Attempts to find a port that is free for both UDP and TCP.
    constexpr int maxPortAttempts = 16;
    /// Minimum payload size to compress. For shorter payloads the saving does not justify the CPU time.
    constexpr std::size_t minCompressedPayloadBytes = 512;
    /// Bit of a frame's type that is set if its payload is compressed.
    constexpr std::uint8_t compressedFlag = 0x80;

    struct Sockets {
        FileDescriptor datagrams;
        FileDescriptor listener;
    };

    Result<Sockets> openSockets(const Endpoint& endpoint)
    {
        for (int attempt = 1;; ++attempt) {
            auto listener = openBound(endpoint, SOCK_STREAM);
            if (!listener) {
                return listener.failure();
            }
            auto datagrams = openBound({ endpoint.address, boundEndpoint(*listener).port }, SOCK_DGRAM);
            if (datagrams) {
                return Sockets { std::move(*datagrams), std::move(*listener) };
            }
            if (endpoint.port != 0 || attempt == maxPortAttempts) {
                return datagrams.failure();
            }
        }
    }

}

PeerTransport::Builder& PeerTransport::Builder::identity(NodeId self, BootId boot)
{
    this->settings.self = self;
    this->settings.boot = boot;
    return *this;
}

PeerTransport::Builder& PeerTransport::Builder::listenOn(Endpoint endpoint)
{
    this->settings.listen = std::move(endpoint);
    return *this;
}

PeerTransport::Builder& PeerTransport::Builder::clusterKey(std::span<const std::uint8_t> key)
{
    this->settings.clusterKey.assign(key.begin(), key.end());
    return *this;
}

PeerTransport::Builder& PeerTransport::Builder::handler(Handler handler)
{
    this->settings.handler = std::move(handler);
    return *this;
}

PeerTransport::Builder& PeerTransport::Builder::peersByAddress()
{
    this->settings.acceptsPeersByAddress = true;
    return *this;
}

PeerTransport::Builder& PeerTransport::Builder::logger(Logger& logger)
{
    this->settings.logger = &logger;
    return *this;
}

Result<std::unique_ptr<PeerTransport>> PeerTransport::Builder::start()
{
    auto sockets = openSockets(this->settings.listen);
    if (!sockets) {
        return sockets.failure();
    }
    return std::unique_ptr<PeerTransport> { new PeerTransport { this->settings, std::move(sockets->datagrams), std::move(sockets->listener) } };
}

PeerTransport::PeerTransport(Settings settings, FileDescriptor datagrams, FileDescriptor listener)
    : settings(std::move(settings))
    , datagrams(std::move(datagrams))
    , listener(std::move(listener))
    , wakeUp(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , outbound(this->events, this->peers, this->statistics)
    , inbound(
          this->events, [this](std::span<const std::uint8_t> frame) { return this->handleFrame(FrameChannel::Stream, frame); },
          [this](const Failure& failure) { this->recordDrop(failure); })
{
    if (this->settings.acceptsPeersByAddress) {
        this->peers.acceptByAddress(this->localEndpoint().port);
    }
    this->datagramsId = this->events.add(this->datagrams, EPOLLIN);
    this->listenerId = this->events.add(this->listener, EPOLLIN);
    this->wakeUpId = this->events.add(this->wakeUp, EPOLLIN);
    this->thread = std::thread { [this] { this->run(); } };
}

PeerTransport::~PeerTransport()
{
    this->stop();
}

void PeerTransport::stop()
{
    if (this->thread.joinable()) {
        this->isStopping = true;
        this->wake();
        this->thread.join();
    }
}

void PeerTransport::tick()
{
    this->isTickDue = true;
    this->wake();
}

void PeerTransport::wake()
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is at its maximum; the thread has a pending wake-up then.
    static_cast<void>(::write(this->wakeUp.number(), &one, sizeof one));
}

void PeerTransport::send(NodeId to, const PeerMessage& message)
{
    if (to == this->settings.self) {
        if (this->peers.queueLoopback(message)) {
            this->wake();
        } else {
            this->recordDrop({ ResultCode::QueueFull, "too many messages to this process itself" });
        }
        return;
    }
    auto payload = encodeMessage(message);
    auto type = static_cast<std::uint8_t>(message.index());
    if (payload.size() > limits::maxDecodedMessageBytes) {
        this->recordDrop({ ResultCode::MessageTooLarge, std::to_string(payload.size()) + " bytes to send" });
        return;
    }
    if (payload.size() >= minCompressedPayloadBytes) {
        if (auto shorter = compress(payload); !shorter.empty()) {
            payload = std::move(shorter);
            type |= compressedFlag;
        }
    }
    if (payload.size() > limits::maxMessageBytes) {
        this->recordDrop({ ResultCode::MessageTooLarge, std::to_string(payload.size()) + " bytes to send" });
    } else if (payload.size() + frameOverheadBytes <= limits::maxDatagramBytes) {
        this->sendDatagram(to, type, payload);
    } else {
        this->sendStream(to, type, payload);
    }
}

void PeerTransport::sendDatagram(NodeId to, std::uint8_t type, std::span<const std::uint8_t> payload)
{
    const auto target = this->peers.nextDatagram(to);
    if (!target) {
        this->recordDrop({ ResultCode::MessageUnknownPeer, "message to " + std::to_string(to.value) });
        return;
    }
    const FrameHeader header { this->settings.self, to, this->settings.boot, target->sequence, FrameChannel::Datagram, type };
    const auto frame = encodeFrame(header, payload, this->settings.clusterKey);
    const auto count = sendto(this->datagrams.number(), frame.data(), frame.size(), MSG_NOSIGNAL, target->address.pointer(), target->address.length);
    if (count < 0) {
        this->recordDrop({ ResultCode::PeerUnreachable, "datagram to " + std::to_string(to.value) });
        return;
    }
    this->statistics.sentFrames.fetch_add(1, std::memory_order_relaxed);
    this->statistics.sentBytes.fetch_add(frame.size(), std::memory_order_relaxed);
}

void PeerTransport::sendStream(NodeId to, std::uint8_t type, std::span<const std::uint8_t> payload)
{
    const auto sequence = this->peers.nextStreamSequence(to);
    if (!sequence) {
        this->recordDrop({ ResultCode::MessageUnknownPeer, "message to " + std::to_string(to.value) });
        return;
    }
    const FrameHeader header { this->settings.self, to, this->settings.boot, *sequence, FrameChannel::Stream, type };
    auto frame = encodeFrame(header, payload, this->settings.clusterKey);
    const auto size = frame.size();
    if (!this->peers.queueFrame(to, std::move(frame))) {
        this->recordDrop({ ResultCode::QueueFull, "stream to " + std::to_string(to.value) });
        return;
    }
    this->statistics.sentFrames.fetch_add(1, std::memory_order_relaxed);
    this->statistics.sentBytes.fetch_add(size, std::memory_order_relaxed);
    this->wake();
}

void PeerTransport::run()
{
    std::array<epoll_event, 64> readyEvents {};
    while (!this->isStopping) {
        const auto count = epoll_wait(this->events.number(), readyEvents.data(), readyEvents.size(), -1);
        for (int i = 0; i < count; ++i) {
            this->dispatch(readyEvents[static_cast<std::size_t>(i)].data.u64, readyEvents[static_cast<std::size_t>(i)].events);
        }
    }
}

void PeerTransport::dispatch(std::uint64_t id, std::uint32_t eventMask)
{
    if (id == this->datagramsId) {
        this->readDatagrams();
    } else if (id == this->wakeUpId) {
        this->handleWakeUp();
    } else if (id == this->listenerId) {
        this->inbound.accept(this->clock.now(), this->listener);
    } else if (!this->inbound.handle(this->clock.now(), id)) {
        this->outbound.handle(this->clock.now(), id, eventMask);
    }
}

void PeerTransport::readDatagrams()
{
    // One byte more than the limit, to detect datagrams that exceed it.
    std::array<std::uint8_t, limits::maxDatagramBytes + 1> buffer;
    for (int i = 0; i < maxDatagramsPerEvent; ++i) {
        const auto count = recv(this->datagrams.number(), buffer.data(), buffer.size(), 0);
        if (count < 0) {
            return;
        }
        if (static_cast<std::size_t>(count) > limits::maxDatagramBytes) {
            this->recordDrop({ ResultCode::MessageTooLarge, "datagram" });
        } else {
            this->handleFrame(FrameChannel::Datagram, std::span { buffer }.first(static_cast<std::size_t>(count)));
        }
    }
}

void PeerTransport::handleWakeUp()
{
    std::uint64_t count = 0;
    static_cast<void>(::read(this->wakeUp.number(), &count, sizeof count));
    if (this->isTickDue.exchange(false)) {
        this->statistics.resetLogLimit();
        this->outbound.expire(this->clock.now());
        this->inbound.expire(this->clock.now());
    }
    this->outbound.sendQueuedFrames(this->clock.now());
    for (const auto& message : this->peers.takeLoopback()) {
        this->settings.handler(this->settings.self, message);
    }
}

bool PeerTransport::handleFrame(FrameChannel channel, std::span<const std::uint8_t> bytes)
{
    this->statistics.receivedFrames.fetch_add(1, std::memory_order_relaxed);
    this->statistics.receivedBytes.fetch_add(bytes.size(), std::memory_order_relaxed);
    const auto delivered = this->deliver(channel, bytes);
    if (!delivered) {
        this->recordDrop(delivered.failure());
    }
    return delivered.hasValue();
}

Status PeerTransport::deliver(FrameChannel channel, std::span<const std::uint8_t> bytes)
{
    const auto frame = decodeFrame(bytes, this->settings.clusterKey);
    if (!frame) {
        return frame.failure();
    }
    const auto& header = frame->header;
    if (header.receiver != this->settings.self || !this->peers.contains(header.sender)) {
        return { ResultCode::MessageUnknownPeer, std::to_string(header.sender.value) + " to " + std::to_string(header.receiver.value) };
    }
    if (header.channel != channel || !this->windows[{ header.sender, channel }].accept(header.boot, header.sequence)) {
        return { ResultCode::MessageReplayed, "from " + std::to_string(header.sender.value) };
    }
    std::vector<std::uint8_t> decompressed;
    auto payload = frame->payload;
    if ((header.type & compressedFlag) != 0) {
        auto content = decompress(payload, limits::maxDecodedMessageBytes);
        if (!content) {
            return content.failure();
        }
        decompressed = std::move(*content);
        payload = decompressed;
    }
    const auto message = decodeMessage(payload);
    if (!message) {
        return message.failure();
    }
    if (message->index() != static_cast<std::uint8_t>(header.type & ~compressedFlag)) {
        return { ResultCode::MessageMalformed, "the frame type does not match the message type" };
    }
    this->settings.handler(header.sender, *message);
    return success();
}

void PeerTransport::recordDrop(const Failure& failure)
{
    const auto isFirst = this->statistics.recordDrop(static_cast<ResultCode>(failure.code.value()));
    if (isFirst && this->settings.logger != nullptr) {
        const auto event = failure.code == ResultCode::PeerUnreachable ? LogEvent::PeerUnreachable
            : failure.code == ResultCode::QueueFull                    ? LogEvent::QueueOverflow
                                                                       : LogEvent::MessageDropped;
        this->settings.logger->log(event, failure.describe(), { { "code", failure.code.value() } });
    }
}

}
