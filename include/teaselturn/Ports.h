#pragma once

#include "teaselturn/Bundle.h"
#include "teaselturn/Command.h"
#include "teaselturn/Message.h"
#include "teaselturn/Result.h"
#include "teaselturn/Types.h"

#include <concepts>
#include <functional>
#include <span>
#include <string_view>

/// Ports of the core: what it asks of the outside, as concepts. Adapters and the fakes of the tests model them.
namespace teaselturn {

/// Source of random numbers. The daemon seeds it from the system, tests from a printed seed.
template <typename T>
concept RandomSource = requires(T& random, std::uint64_t bound)
{
    /// A number in [0, bound); bound is at least 1.
    {
        random.below(bound)
        } -> std::same_as<std::uint64_t>;
};

/// Checks Ed25519 signatures and computes SHA-256.
template <typename T>
concept SignatureVerifier = requires(const T& verifier, std::span<const std::uint8_t, 32> publicKey,
    std::string_view bytes, std::span<const std::uint8_t, 64> signature)
{
    {
        verifier.verify(publicKey, bytes, signature)
        } -> std::same_as<bool>;
    {
        verifier.digest(bytes)
        } -> std::same_as<BundleDigest>;
};

/// Reads a monotonic clock.
template <typename T>
concept Clock = requires(const T& clock)
{
    {
        clock.now()
    }
    noexcept->std::same_as<Instant>;
};

/// Identifies a subscription to a timer service.
using TimerId = StrongId<struct TimerIdTag, std::uint64_t>;

/// Calls subscribers at intervals or once after a delay, on the timer service's own thread.
template <typename T>
concept TimerService = requires(T& timers, Duration interval, std::function<void(Instant)> callback, TimerId id)
{
    {
        timers.every(interval, callback)
        } -> std::same_as<TimerId>;
    {
        timers.after(interval, callback)
        } -> std::same_as<TimerId>;
    { timers.cancel(id) };
};

/// Sends a message to another process of the system, without waiting; loss is allowed.
template <typename T>
concept PeerSender = requires(T& sender, NodeId to, const PeerMessage& message)
{
    { sender.send(to, message) };
};

}
