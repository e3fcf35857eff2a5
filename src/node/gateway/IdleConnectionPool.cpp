#include "node/gateway/IdleConnectionPool.h"

#include "core/dispatch/ScaledDuration.h"

#include <algorithm>

namespace teaselturn {

std::shared_ptr<UpstreamConnection> IdleConnectionPool::take(const UpstreamKey& upstream, Instant now)
{
    const auto found = this->idle.find(upstream);
    if (found == this->idle.end() || found->second.empty() || found->second.back().usableUntil <= now) {
        return nullptr;
    }
    auto link = std::move(found->second.back().link);
    found->second.pop_back();
    return link;
}

void IdleConnectionPool::put(const UpstreamKey& upstream, std::shared_ptr<UpstreamConnection> link, Instant now, Duration idleTime)
{
    auto& links = this->idle[upstream];
    const auto margin = std::min<Duration>(closeMargin, scaled(idleTime, largestMarginShare));
    links.push_back({ std::move(link), now + idleTime - margin });
}

void IdleConnectionPool::remove(const UpstreamKey& upstream, ConnectionId link)
{
    const auto found = this->idle.find(upstream);
    if (found != this->idle.end()) {
        std::erase_if(found->second, [link](const Idle& entry) { return entry.link->number() == link; });
    }
}

std::vector<std::shared_ptr<UpstreamConnection>> IdleConnectionPool::takeExpired(Instant now, const std::function<bool(const UpstreamKey&)>& isKept)
{
    std::vector<std::shared_ptr<UpstreamConnection>> expired;
    for (auto& [upstream, links] : this->idle) {
        const bool keeps = isKept(upstream);
        std::erase_if(links, [&](Idle& entry) {
            if (keeps && entry.usableUntil > now) {
                return false;
            }
            expired.push_back(std::move(entry.link));
            return true;
        });
        while (links.size() > maxIdle) {
            expired.push_back(std::move(links.front().link));
            links.erase(links.begin());
        }
    }
    absl::erase_if(this->idle, [](const auto& item) { return item.second.empty(); });
    return expired;
}

}
