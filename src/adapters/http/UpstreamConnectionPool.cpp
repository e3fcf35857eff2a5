#include "adapters/http/UpstreamConnectionPool.h"

#include "adapters/clock/SteadyClock.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace teaselturn {

namespace {

    constexpr std::int64_t unitsPerToken = 1'000;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;

    std::int64_t accruedTokenUnits(Duration passed, std::uint32_t perSecond)
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
    case ExchangeStatus::Complete:
        break;
    }
    // A refusal must carry the request's id as well: a late one could belong to an earlier request.
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

AttemptReport::Kind UpstreamConnectionPool::toReportKind(AcquireStatus status)
{
    switch (status) {
    case AcquireStatus::Limited:
        return AttemptReport::Kind::Limited;
    case AcquireStatus::Ended:
        return AttemptReport::Kind::Withdrawn;
    case AcquireStatus::Acquired:
    case AcquireStatus::ConnectFailed:
        break;
    }
    return AttemptReport::Kind::Made;
}

AttemptReport UpstreamConnectionPool::send(const UpstreamAttempt& attempt)
{
    const SteadyClock clock;
    AttemptReport report;
    while (true) {
        PooledConnection pooled;
        const auto acquireStatus = this->acquire(attempt, pooled);
        if (acquireStatus != AcquireStatus::Acquired) {
            report.kind = toReportKind(acquireStatus);
            report.result = AttemptResult::ConnectionRefused;
            return report;
        }
        // Ends before the connection is closed or offered to other attempts.
        std::optional<InterruptibleSockets::Use> use { std::in_place, this->sockets, pooled.connection->socketDescriptor() };
        if (!use->isRegistered() || (attempt.mayStillSend && !attempt.mayStillSend())) {
            use.reset();
            this->release(attempt.upstream, std::move(pooled), clock.now());
            report.kind = AttemptReport::Kind::Withdrawn;
            return report;
        }
        const auto sentAt = clock.now();
        pooled.carried.record(attempt.requestId);
        auto result = exchange(*pooled.connection, attempt.request, this->limits.message, attempt.deadline);
        use.reset();
        const auto endedAt = clock.now();
        report.kind = AttemptReport::Kind::Made;
        report.result = toAttemptResult(result, attempt.requestId);
        const bool isValidResponse
            = result.status == ExchangeStatus::Complete && report.result != AttemptResult::Mismatched;
        if (!isValidResponse || !result.canReuse || pooled.carried.isFull()) {
            pooled.connection.reset();
        }
        this->release(attempt.upstream, std::move(pooled), endedAt);
        report.latency = endedAt - sentAt;
        report.response = std::move(result.response);
        // No byte was sent: the upstream had already reset the idle connection. Using another one does not send the
        // request twice.
        if (result.status != ExchangeStatus::NotSent || endedAt >= attempt.deadline) {
            return report;
        }
    }
}

UpstreamConnectionPool::Upstream& UpstreamConnectionPool::findOrAdd(const UpstreamAttempt& attempt, Instant now)
{
    auto& upstream = this->upstreams[attempt.upstream];
    if (!upstream) {
        upstream = std::make_unique<Upstream>();
        upstream->newConnectionTokens = std::max<std::int64_t>(attempt.connectionShare, 1) * unitsPerToken;
        upstream->tokensUpdatedAt = now;
    }
    return *upstream;
}

bool UpstreamConnectionPool::tryReserveNew(Upstream& upstream, const UpstreamAttempt& attempt, Instant now)
{
    const auto added = accruedTokenUnits(now - upstream.tokensUpdatedAt, this->limits.newPerSecond);
    if (added > 0) {
        const auto cap = static_cast<std::int64_t>(this->limits.newPerSecond) * unitsPerToken;
        upstream.newConnectionTokens = std::max(upstream.newConnectionTokens, std::min(cap, upstream.newConnectionTokens + added));
        upstream.tokensUpdatedAt = now;
    }
    if (upstream.open >= attempt.connectionShare || upstream.newConnectionTokens < unitsPerToken) {
        return false;
    }
    upstream.newConnectionTokens -= unitsPerToken;
    ++upstream.open;
    return true;
}

bool UpstreamConnectionPool::takeIdle(Upstream& upstream, const UpstreamAttempt& attempt, Instant now, PooledConnection& target, std::vector<PooledConnection>& closed)
{
    auto& idleConnections = upstream.idleConnections;
    for (auto index = idleConnections.size(); index-- > 0;) {
        auto& idle = idleConnections[index];
        const bool isUsable = !attempt.wantsNewConnection && now - idle.lastUsed < this->limits.idleTime && idle.connection->isIdle();
        if (isUsable && !idle.carried.mayCarry(attempt.requestId)) {
            continue;
        }
        auto taken = std::move(idle);
        idleConnections.erase(idleConnections.begin() + static_cast<std::ptrdiff_t>(index));
        if (isUsable) {
            target = std::move(taken);
            return true;
        }
        --upstream.open;
        closed.push_back(std::move(taken));
    }
    return false;
}

UpstreamConnectionPool::AcquireStatus UpstreamConnectionPool::acquire(const UpstreamAttempt& attempt, PooledConnection& target)
{
    const SteadyClock clock;
    // Destroyed after the lock is released and before a new connection is opened.
    std::vector<PooledConnection> closed;
    bool isNew = false;
    {
        const MutexLock lock { this->mutex };
        while (!isNew) {
            if (this->sockets.isInterrupted()) {
                return AcquireStatus::Ended;
            }
            const auto now = clock.now();
            auto& upstream = this->findOrAdd(attempt, now);
            if (this->takeIdle(upstream, attempt, now, target, closed)) {
                return AcquireStatus::Acquired;
            }
            if (upstream.open >= attempt.connectionShare && !upstream.idleConnections.empty()) {
                // The idle connections have carried the request's id. One of them makes room for a new connection.
                closed.push_back(std::move(upstream.idleConnections.front()));
                upstream.idleConnections.erase(upstream.idleConnections.begin());
                --upstream.open;
            }
            isNew = this->tryReserveNew(upstream, attempt, now);
            if (!isNew) {
                const auto remaining = attempt.deadline - now;
                if (attempt.connectionShare == 0 || remaining <= Duration::zero()) {
                    return AcquireStatus::Limited;
                }
                const Duration untilToken = std::chrono::milliseconds { unitsPerToken } / this->limits.newPerSecond;
                ++upstream.waiting;
                this->changed.waitFor(this->mutex, std::min(remaining, untilToken));
                --upstream.waiting;
            }
        }
    }
    closed.clear();
    const auto status = this->connect(attempt, target);
    if (status != AcquireStatus::Acquired) {
        this->release(attempt.upstream, {}, clock.now());
    }
    return status;
}

UpstreamConnectionPool::AcquireStatus UpstreamConnectionPool::connect(const UpstreamAttempt& attempt, PooledConnection& target)
{
    const auto deadline = std::min(attempt.deadline, SteadyClock {}.now() + this->limits.connectTimeout);
    auto begun = Connection::beginConnect(attempt.upstream);
    if (!begun) {
        return AcquireStatus::ConnectFailed;
    }
    const InterruptibleSockets::Use use { this->sockets, (*begun)->socketDescriptor() };
    if (!use.isRegistered()) {
        return AcquireStatus::Ended;
    }
    if (!(*begun)->finishConnect(deadline)) {
        return AcquireStatus::ConnectFailed;
    }
    target.connection = std::move(begun).value();
    return AcquireStatus::Acquired;
}

void UpstreamConnectionPool::endAttempts()
{
    this->sockets.interrupt();
    {
        // An attempt that has seen isInterrupted() as false waits by now, and is woken.
        const MutexLock lock { this->mutex };
    }
    this->changed.notifyAll();
}

void UpstreamConnectionPool::release(const Endpoint& endpoint, PooledConnection pooled, Instant now)
{
    {
        const MutexLock lock { this->mutex };
        auto& upstream = *this->upstreams.at(endpoint);
        if (pooled.connection) {
            pooled.lastUsed = now;
            upstream.idleConnections.push_back(std::move(pooled));
        } else {
            --upstream.open;
        }
    }
    this->changed.notifyAll();
}

void UpstreamConnectionPool::closeUnused(Instant now)
{
    std::vector<PooledConnection> closed;
    const MutexLock lock { this->mutex };
    for (auto entry = this->upstreams.begin(); entry != this->upstreams.end();) {
        auto& upstream = *entry->second;
        const auto unused = std::stable_partition(upstream.idleConnections.begin(), upstream.idleConnections.end(),
            [&](const PooledConnection& idle) { return now - idle.lastUsed < this->limits.idleTime; });
        upstream.open -= static_cast<std::uint32_t>(upstream.idleConnections.end() - unused);
        closed.insert(closed.end(), std::make_move_iterator(unused), std::make_move_iterator(upstream.idleConnections.end()));
        upstream.idleConnections.erase(unused, upstream.idleConnections.end());
        // A removed upstream would start again with all tokens, so it is removed only after its tokens are refilled.
        const bool isRefilled = now - upstream.tokensUpdatedAt > std::chrono::seconds { 10 };
        if (upstream.open == 0 && upstream.waiting == 0 && isRefilled) {
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
