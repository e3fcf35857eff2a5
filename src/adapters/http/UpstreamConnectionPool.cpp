#include "adapters/http/UpstreamConnectionPool.h"

#include "adapters/clock/SteadyClock.h"

#include <algorithm>
#include <utility>

namespace teaselturn {

namespace {

    constexpr std::int64_t wholeToken = 1'000;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;

    std::int64_t refill(Duration passed, std::uint32_t perSecond)
    {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
        return std::min<std::int64_t>(milliseconds, 60'000) * perSecond;
    }

}

AttemptResult toAttemptResult(const Exchange& exchange, std::string_view requestId)
{
    switch (exchange.status) {
    case ExchangeStatus::NotSent:
        return AttemptResult::ConnectionRefused;
    case ExchangeStatus::Broken:
        return AttemptResult::Broken;
    case ExchangeStatus::TimedOut:
        return AttemptResult::TimedOut;
    case ExchangeStatus::Incomplete:
        return AttemptResult::Incomplete;
    case ExchangeStatus::Whole:
        break;
    }
    // A refusal counts only with the right id too: a late one could belong to another request.
    if (exchange.response.header("Teaselturn-Request-Id") != requestId) {
        return AttemptResult::Mismatched;
    }
    if (exchange.response.header("Teaselturn-Refused") == "yes") {
        if (exchange.response.status == statusConflict) {
            return AttemptResult::RefusedByFence;
        }
        if (exchange.response.status == statusUnavailable) {
            return AttemptResult::RefusedByLoad;
        }
    }
    return AttemptResult::Answered;
}

UpstreamConnectionPool::UpstreamConnectionPool(ConnectionPoolLimits limits)
    : limits(limits)
{
}

AttemptReport UpstreamConnectionPool::send(const UpstreamAttempt& attempt)
{
    const SteadyClock clock;
    AttemptReport report;
    while (true) {
        std::unique_ptr<Connection> connection;
        const auto acquireStatus = this->acquire(attempt, connection);
        if (acquireStatus != AcquireStatus::Acquired) {
            report.kind = acquireStatus == AcquireStatus::Refused ? AttemptReport::Kind::Made : AttemptReport::Kind::Limited;
            report.result = AttemptResult::ConnectionRefused;
            return report;
        }
        if (attempt.mayStillSend && !attempt.mayStillSend()) {
            this->release(attempt.upstream, std::move(connection), clock.now());
            report.kind = AttemptReport::Kind::Withdrawn;
            return report;
        }
        const auto sentAt = clock.now();
        auto result = exchange(*connection, attempt.request, this->limits.message, attempt.deadline);
        const auto endedAt = clock.now();
        report.kind = AttemptReport::Kind::Made;
        report.result = toAttemptResult(result, attempt.requestId);
        const bool isValidResponse
            = result.status == ExchangeStatus::Whole && report.result != AttemptResult::Mismatched;
        if (!isValidResponse || !result.canReuse) {
            connection.reset();
        }
        this->release(attempt.upstream, std::move(connection), endedAt);
        report.latency = endedAt - sentAt;
        report.response = std::move(result.response);
        // The system took no byte: a kept connection was already reset. Another one is not a second sending.
        if (result.status != ExchangeStatus::NotSent || endedAt >= attempt.deadline) {
            return report;
        }
    }
}

UpstreamConnectionPool::Upstream& UpstreamConnectionPool::find(const UpstreamAttempt& attempt, Instant now)
{
    auto& upstream = this->upstreams[attempt.upstream];
    if (!upstream) {
        upstream = std::make_unique<Upstream>();
        upstream->newTokens = std::max<std::int64_t>(attempt.connectionShare, 1) * wholeToken;
        upstream->tokensAt = now;
    }
    return *upstream;
}

bool UpstreamConnectionPool::tryReserveNew(Upstream& upstream, const UpstreamAttempt& attempt, Instant now)
{
    const auto added = refill(now - upstream.tokensAt, this->limits.newPerSecond);
    if (added > 0) {
        const auto cap = static_cast<std::int64_t>(this->limits.newPerSecond) * wholeToken;
        upstream.newTokens = std::max(upstream.newTokens, std::min(cap, upstream.newTokens + added));
        upstream.tokensAt = now;
    }
    if (upstream.open >= attempt.connectionShare || upstream.newTokens < wholeToken) {
        return false;
    }
    upstream.newTokens -= wholeToken;
    ++upstream.open;
    return true;
}

UpstreamConnectionPool::AcquireStatus UpstreamConnectionPool::acquire(
    const UpstreamAttempt& attempt, std::unique_ptr<Connection>& connection)
{
    const SteadyClock clock;
    // Closed without the lock, and before a new connection is made.
    std::vector<IdleConnection> closed;
    bool isNew = false;
    {
        const MutexLock lock { this->mutex };
        while (!isNew) {
            const auto now = clock.now();
            auto& upstream = this->find(attempt, now);
            while (!upstream.kept.empty()) {
                auto kept = std::move(upstream.kept.back());
                upstream.kept.pop_back();
                if (!attempt.wantsNewConnection && now - kept.lastUsed < this->limits.idleTime
                    && kept.connection->isIdle()) {
                    connection = std::move(kept.connection);
                    return AcquireStatus::Acquired;
                }
                --upstream.open;
                closed.push_back(std::move(kept));
            }
            isNew = this->tryReserveNew(upstream, attempt, now);
            if (!isNew) {
                const auto remaining = attempt.deadline - now;
                if (attempt.connectionShare == 0 || remaining <= Duration::zero()) {
                    return AcquireStatus::Limited;
                }
                const Duration untilToken = std::chrono::milliseconds { wholeToken } / this->limits.newPerSecond;
                ++upstream.waiting;
                this->changed.waitFor(this->mutex, std::min(remaining, untilToken));
                --upstream.waiting;
            }
        }
    }
    closed.clear();
    const auto connectDeadline = std::min(attempt.deadline, clock.now() + this->limits.connectTime);
    auto made = Connection::connect(attempt.upstream, connectDeadline);
    if (!made) {
        this->release(attempt.upstream, nullptr, clock.now());
        return AcquireStatus::Refused;
    }
    connection = std::move(made).value();
    return AcquireStatus::Acquired;
}

void UpstreamConnectionPool::release(
    const Endpoint& endpoint, std::unique_ptr<Connection> connection, Instant now)
{
    {
        const MutexLock lock { this->mutex };
        auto& upstream = *this->upstreams.at(endpoint);
        if (connection) {
            upstream.kept.push_back({ std::move(connection), now });
        } else {
            --upstream.open;
        }
    }
    this->changed.notifyAll();
}

void UpstreamConnectionPool::closeUnused(Instant now)
{
    std::vector<IdleConnection> closed;
    const MutexLock lock { this->mutex };
    for (auto entry = this->upstreams.begin(); entry != this->upstreams.end();) {
        auto& upstream = *entry->second;
        const auto unused = std::stable_partition(upstream.kept.begin(), upstream.kept.end(),
            [&](const IdleConnection& kept) { return now - kept.lastUsed < this->limits.idleTime; });
        upstream.open -= static_cast<std::uint32_t>(upstream.kept.end() - unused);
        closed.insert(closed.end(), std::make_move_iterator(unused), std::make_move_iterator(upstream.kept.end()));
        upstream.kept.erase(unused, upstream.kept.end());
        // Tokens of a forgotten upstream would come back whole, so it is kept until they are refilled.
        const bool isFull = now - upstream.tokensAt > std::chrono::seconds { 10 };
        if (upstream.open == 0 && upstream.waiting == 0 && isFull) {
            this->upstreams.erase(entry++);
        } else {
            ++entry;
        }
    }
}

std::size_t UpstreamConnectionPool::connectionCount(const Endpoint& upstream)
{
    const MutexLock lock { this->mutex };
    const auto entry = this->upstreams.find(upstream);
    return entry == this->upstreams.end() ? 0 : entry->second->open;
}

}
