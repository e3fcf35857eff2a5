#pragma once

#include "teaselturn/Types.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>

namespace teaselturn {

/// What the network link of an entry VM can carry. A request takes the bytes that it and its answer are expected to put on the
/// link in each direction; they drain at the link's speed. A full link delays every answer and loses the datagrams of
/// the registry's feed, so requests are refused before it is full. Deterministic; not thread-safe.
class BandwidthBudget {
public:
    /// @param bytesPerSecond Speed of the link in each direction. Zero where it sets no bound.
    explicit BandwidthBudget(std::size_t bytesPerSecond) noexcept
        : usableBytesPerSecond(static_cast<double>(bytesPerSecond) * usableShare)
    {
    }

    /// @return Bytes that a request of the route is expected to take, its answer included.
    double expectedBytes(const std::string& route, std::size_t requestBytes) const noexcept
    {
        const auto known = this->answerBytes.find(route);
        return static_cast<double>(requestBytes) + (known == this->answerBytes.end() ? 0 : known->second);
    }

    /// @return Time until the link has carried what was taken before.
    Duration wait(Instant now) noexcept
    {
        if (this->usableBytesPerSecond <= 0) {
            return Duration::zero();
        }
        this->drain(now);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { this->backlog / this->usableBytesPerSecond });
    }

    void take(Instant now, double bytes) noexcept
    {
        this->drain(now);
        this->backlog += bytes;
    }

    /// Returns what was taken for a request that gets no answer, or corrects it once the answer is known.
    void giveBack(Instant now, double bytes) noexcept
    {
        this->drain(now);
        this->backlog = std::max(0.0, this->backlog - bytes);
    }

    void learnAnswer(const std::string& route, std::size_t bytes)
    {
        const auto size = static_cast<double>(bytes);
        const auto [known, isNew] = this->answerBytes.try_emplace(route, size);
        if (!isNew) {
            known->second += (size - known->second) * answerWeight;
        }
    }

    /// Forgets routes that are no longer in use.
    template <typename IsKept>
    void keepRoutes(IsKept isKept)
    {
        absl::erase_if(this->answerBytes, [&isKept](const auto& item) { return !isKept(item.first); });
    }

private:
    /// The rest carries the feed of the registry, reports of load, and the overhead of TCP.
    static constexpr double usableShare = 0.85;
    /// Weight of one answer in the expected size of a route's answers.
    static constexpr double answerWeight = 0.05;

    void drain(Instant now) noexcept
    {
        const auto elapsed = std::chrono::duration<double> { std::max<Duration>(now - this->drainedAt, Duration::zero()) };
        this->backlog = std::max(0.0, this->backlog - elapsed.count() * this->usableBytesPerSecond);
        this->drainedAt = std::max(this->drainedAt, now);
    }

    double usableBytesPerSecond;
    double backlog {};
    Instant drainedAt;
    absl::flat_hash_map<std::string, double> answerBytes;
};

}
