#pragma once

#include <algorithm>
#include <cstdint>

namespace teaselturn {

/// Token bucket that limits retries to a share of the requests: each request adds a fraction of a token, and each retry
/// consumes a whole token. Deterministic, allocates nothing; not thread-safe.
class RetryBudget {
public:
    /// @param percent Retries allowed, in per cent of requests.
    explicit RetryBudget(std::uint32_t percent) noexcept
        : percent(percent)
        , tokens(percent == 0 ? 0 : initialTokens)
    {
    }

    /// Adds the share of a token for one request.
    void recordRequest() noexcept { this->tokens = std::min(this->tokens + this->percent, std::max(initialTokens, maxTokens)); }

    /// Consumes a token for one retry.
    /// @return False if the budget is used up.
    bool tryRetry() noexcept
    {
        if (this->percent == 0 || this->tokens < wholeToken) {
            return false;
        }
        this->tokens -= wholeToken;
        return true;
    }

    void setPercent(std::uint32_t newPercent) noexcept { this->percent = newPercent; }

private:
    static constexpr std::uint32_t wholeToken = 100;
    /// Initial tokens. Without them, a service with few requests could not retry.
    static constexpr std::uint32_t initialTokens = 10 * wholeToken;
    /// Bounds the burst of retries after a long time without failures.
    static constexpr std::uint32_t maxTokens = 100 * wholeToken;

    std::uint32_t percent;
    std::uint32_t tokens;
};

}
