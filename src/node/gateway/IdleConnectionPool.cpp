#include "node/gateway/IdleConnectionPool.h"

#include "core/dispatch/ScaledDuration.h"

#include <algorithm>

namespace teaselturn {

std::shared_ptr<UpstreamConnection> IdleConnectionPool::take(const UpstreamKey& upstream, Instant now, const std::function<bool(ConnectionId)>& mayUse)
{
    const auto found = this->idle.find(upstream);
    if (found == this->idle.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    for (auto entry = connections.rbegin(); entry != connections.rend() && entry->usableUntil > now; ++entry) {
        if (mayUse(entry->connection->number())) {
            auto connection = std::move(entry->connection);
            connections.erase(std::next(entry).base());
            return connection;
        }
    }
    return nullptr;
}

void IdleConnectionPool::put(const UpstreamKey& upstream, std::shared_ptr<UpstreamConnection> connection, Instant now, Duration idleTime)
{
    auto& connections = this->idle[upstream];
    const auto margin = std::min<Duration>(closeMargin, scaled(idleTime, maxMarginFraction));
    connections.push_back({ std::move(connection), now + idleTime - margin });
}

void IdleConnectionPool::remove(const UpstreamKey& upstream, ConnectionId connection)
{
    const auto found = this->idle.find(upstream);
    if (found != this->idle.end()) {
        std::erase_if(found->second, [connection](const IdleConnection& entry) { return entry.connection->number() == connection; });
    }
}

std::vector<std::shared_ptr<UpstreamConnection>> IdleConnectionPool::takeExpired(Instant now, const std::function<bool(const UpstreamKey&)>& isKept)
{
    std::vector<std::shared_ptr<UpstreamConnection>> expired;
    for (auto& [upstream, connections] : this->idle) {
        const bool isUpstreamKept = isKept(upstream);
        std::erase_if(connections, [&](IdleConnection& entry) {
            if (isUpstreamKept && entry.usableUntil > now) {
                return false;
            }
            expired.push_back(std::move(entry.connection));
            return true;
        });
        while (connections.size() > maxIdle) {
            expired.push_back(std::move(connections.front().connection));
            connections.erase(connections.begin());
        }
    }
    absl::erase_if(this->idle, [](const auto& item) { return item.second.empty(); });
    return expired;
}

}
