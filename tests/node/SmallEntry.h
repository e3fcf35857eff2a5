#pragma once

#include "adapters/clock/ThreadTimerService.h"
#include "adapters/http/HeartbeatJson.h"
#include "adapters/http/HttpServer.h"
#include "adapters/http/UpstreamConnectionPool.h"
#include "node/RequestHandler.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

/// Grants leases and assigns the slots of one service in memory, without a ledger. Models RouteSource.
class InMemoryRouteSource {
public:
    explicit InMemoryRouteSource(std::uint32_t partitions)
        : partitions(partitions)
    {
        const teaselturn::MutexLock lock { this->mutex };
        this->slots.resize(partitions);
    }

    /// Waits until a condition on the number of slots of each attached upstream, by name, holds.
    /// @return False if it does not hold within 60 seconds.
    bool waitFor(const std::function<bool(const std::map<std::string, int>&)>& condition)
    {
        const auto deadline = this->clock.now() + std::chrono::seconds { 60 };
        const teaselturn::MutexLock lock { this->mutex };
        while (!condition(this->slotCounts())) {
            const auto now = this->clock.now();
            if (now >= deadline) {
                return false;
            }
            this->changed.waitFor(this->mutex, deadline - now);
        }
        return true;
    }

    void assignSlots(teaselturn::Instant now)
    {
        {
            const teaselturn::MutexLock lock { this->mutex };
            for (auto entry = this->upstreams.begin(); entry != this->upstreams.end();) {
                if (now < entry->second.leaseEnd) {
                    ++entry;
                    continue;
                }
                for (auto& slot : this->slots) {
                    slot.owner = slot.owner == entry->first ? 0 : slot.owner;
                }
                entry = this->upstreams.erase(entry);
            }
            for (std::size_t index = 0; index < this->slots.size(); ++index) {
                auto& slot = this->slots[index];
                if (slot.owner == 0 && (slot.owner = this->target(index)) != 0) {
                    slot.fence = ++this->logIndex;
                }
            }
        }
        this->changed.notifyAll();
        this->signal.notifyChanged();
    }

    teaselturn::HttpResponse handleHeartbeat(const teaselturn::HttpRequest& request)
    {
        const auto message = teaselturn::decodeHeartbeat(request.body);
        if (!message) {
            return { 400, {}, message.failure().describe() };
        }
        const teaselturn::MutexLock lock { this->mutex };
        auto id = message->session;
        if (this->upstreams.count(id) == 0) {
            id = ++this->logIndex;
        }
        const auto lease = teaselturn::timing::withDrift(leaseLength);
        this->upstreams[id] = Upstream { *message, this->clock.now() + lease };
        for (const auto& released : message->released) {
            auto& slot = this->slots.at(released.slot);
            if (slot.owner == id && slot.fence == released.fence) {
                slot = { this->target(released.slot), ++this->logIndex };
            }
        }
        teaselturn::HeartbeatReplyMessage reply { 0, message->incarnation, message->sequence, id, id,
            static_cast<std::uint32_t>(leaseLength.count()), this->logIndex, true, {}, {} };
        for (std::uint32_t index = 0; index < this->slots.size(); ++index) {
            if (this->slots[index].owner == id) {
                auto& list = this->target(index) == id ? reply.grants : reply.releaseWanted;
                list.push_back({ index, this->slots[index].fence });
            }
        }
        this->changed.notifyAll();
        return { 200, {}, teaselturn::encodeHeartbeatReply(reply) };
    }

    std::optional<teaselturn::ServiceInfo> findService(std::string_view name) const
    {
        return name == "tills" ? std::optional { teaselturn::ServiceInfo { { 1 }, 1, 10 } } : std::nullopt;
    }
    std::optional<teaselturn::Route> find(teaselturn::ServiceId service, std::string_view key)
    {
        const teaselturn::MutexLock lock { this->mutex };
        const auto index = static_cast<std::uint32_t>(std::hash<std::string_view> {}(key) % this->partitions);
        const auto& slot = this->slots[index];
        return teaselturn::Route { { service, index }, { slot.owner }, { slot.fence } };
    }
    std::optional<teaselturn::OwnerInfo> findOwner(teaselturn::UpstreamId id)
    {
        const teaselturn::MutexLock lock { this->mutex };
        const auto found = this->upstreams.find(id.value);
        if (found == this->upstreams.end()) {
            return std::nullopt;
        }
        const auto& message = found->second.message;
        return teaselturn::OwnerInfo { message.endpoint, true, message.requestSlots, message.connectionLimit };
    }
    bool isTableFresh(teaselturn::Instant) const { return true; }
    std::uint64_t version() { return this->signal.version(); }
    void waitForChange(std::uint64_t seen, teaselturn::Duration maxWait) { this->signal.waitForChange(seen, maxWait); }

private:
    /// Longer than timing::leaseLength, so that leases don't expire merely because a machine is slow under a sanitizer.
    static constexpr std::chrono::milliseconds leaseLength { 3'000 };

    struct Upstream {
        teaselturn::HeartbeatMessage message;
        teaselturn::Instant leaseEnd;
    };
    struct Slot {
        std::uint64_t owner {};
        std::uint64_t fence {};
    };
    std::map<std::string, int> slotCounts() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        std::map<std::string, int> counts;
        for (const auto& [id, upstream] : this->upstreams) {
            counts[upstream.message.name] += static_cast<int>(std::count_if(
                this->slots.begin(), this->slots.end(), [id = id](const Slot& slot) { return slot.owner == id; }));
        }
        return counts;
    }

    /// Returns the upstream to assign a slot to, round robin over those that are not leaving; 0 if there is none.
    std::uint64_t target(std::size_t index) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        std::vector<std::uint64_t> live;
        for (const auto& [id, upstream] : this->upstreams) {
            if (!upstream.message.isLeaving) {
                live.push_back(id);
            }
        }
        return live.empty() ? 0 : live[index % live.size()];
    }

    const std::uint32_t partitions;
    teaselturn::SteadyClock clock;
    teaselturn::Mutex mutex;
    teaselturn::ConditionVariable changed;
    teaselturn::RouteSignal signal;
    std::uint64_t logIndex ABSL_GUARDED_BY(mutex) {};
    std::vector<Slot> slots ABSL_GUARDED_BY(mutex);
    std::map<std::uint64_t, Upstream> upstreams ABSL_GUARDED_BY(mutex);
};

/// An entry VM for tests: the real request path, with routes from InMemoryRouteSource.
class SmallEntry {
public:
    explicit SmallEntry(std::uint32_t partitions)
        : owners(partitions)
        , requestServer(start(this->requestWorkers, [this](const auto& request) { return this->handler.handle(request); }))
        , heartbeatServer(start(this->heartbeatWorkers, [this](const auto& request) { return this->owners.handleHeartbeat(request); }))
    {
        this->timers.every(std::chrono::milliseconds { 20 }, [this](teaselturn::Instant now) {
            this->owners.assignSlots(now);
            this->pool.closeUnused(now);
        });
    }

    std::string requestAddress() const { return "127.0.0.1:" + std::to_string(this->requestServer->port()); }
    std::string heartbeatAddress() const { return "127.0.0.1:" + std::to_string(this->heartbeatServer->port()); }
    std::uint64_t finishedRequests() const { return this->observer.requests; }

    template <typename Condition>
    bool waitFor(Condition condition)
    {
        return this->owners.waitFor(condition);
    }

private:
    struct CountingObserver : teaselturn::NoRequestObserver {
        void handleRequestEnd(const teaselturn::RequestSpec&, teaselturn::Outcome, teaselturn::ResultCode, teaselturn::Duration, int)
        {
            ++this->requests;
        }
        std::atomic<std::uint64_t> requests {};
    };

    static std::unique_ptr<teaselturn::HttpServer> start(
        teaselturn::WorkerPool& workers, teaselturn::HttpHandler handler)
    {
        return std::move(teaselturn::HttpServer::start({}, workers, std::move(handler))).value();
    }

    teaselturn::SteadyClock clock;
    InMemoryRouteSource owners;
    teaselturn::UpstreamConnectionPool pool;
    teaselturn::LimiterTable<teaselturn::SteadyClock> limiters { clock };
    teaselturn::OutcomeRegistry outcomes;
    CountingObserver observer;
    teaselturn::RequestHandler<InMemoryRouteSource, teaselturn::UpstreamConnectionPool, teaselturn::SteadyClock, CountingObserver>
        handler { owners, pool, clock, limiters, outcomes, observer };
    teaselturn::WorkerPool requestWorkers { 32, 256 };
    /// Heartbeats have their own workers, so that they aren't queued behind requests that wait for an owner.
    teaselturn::WorkerPool heartbeatWorkers { 2, 64 };
    std::unique_ptr<teaselturn::HttpServer> requestServer;
    std::unique_ptr<teaselturn::HttpServer> heartbeatServer;
    teaselturn::ThreadTimerService timers;
};
