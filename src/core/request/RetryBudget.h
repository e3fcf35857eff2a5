#pragma once

#include <algorithm>
#include <cstdint>

namespace teaselturn {

/// Limits retries to a share of requests: each request adds a part of a token, each retry takes a whole one.
/// Deterministic, allocates nothing; not thread-safe.
class RetryBudget {
public:
    /// @param percent Retries allowed, in per cent of requests.
    explicit RetryBudget(std::uint32_t percent) noexcept
        : percent(percent)
        , tokens(percent == 0 ? 0 : reserve)
    {
    }

    /// Counts a request.
    void recordRequest() noexcept { this->tokens = std::min(this->tokens + this->percent, std::max(reserve, cap)); }

    /// Takes a retry from the budget.
    /// @return False where it is used up.
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
    /// Lets a service with few requests retry at all.
    static constexpr std::uint32_t reserve = 10 * wholeToken;
    /// Bounds the retries that a quiet time can save up.
    static constexpr std::uint32_t cap = 100 * wholeToken;

    std::uint32_t percent;
    std::uint32_t tokens;
};

}
