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

/// Ports of the core: concepts for the outside services that it uses. Adapters and test fakes model them.
namespace teaselturn {

/// Source of random numbers. The daemon seeds it from the operating system, tests from a seed that they print.
template <typename T>
concept RandomSource = requires(T& random, std::uint64_t bound)
{
    /// Returns a number in [0, bound). Requires bound >= 1.
    {
        random.below(bound)
        } -> std::same_as<std::uint64_t>;
};

/// Verifies Ed25519 signatures and computes SHA-256 digests.
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

/// A monotonic clock.
template <typename T>
concept Clock = requires(const T& clock)
{
    {
        clock.now()
    }
    noexcept->std::same_as<Instant>;
};

/// Identifies a timer of a timer service.
using TimerId = StrongId<struct TimerIdTag, std::uint64_t>;

/// Invokes callbacks at intervals or once after a delay, on the timer service's own thread.
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

/// Sends messages to other processes of the system without blocking. Messages may be lost.
template <typename T>
concept PeerSender = requires(T& sender, NodeId to, const PeerMessage& message)
{
    { sender.send(to, message) };
};

}
