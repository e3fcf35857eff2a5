#pragma once

#include "core/dispatch/ScaledDuration.h"
#include "load-model/Simulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace teaselturn::model {

template <DispatchPolicy Policy>
Simulation<Policy>::Simulation(const Pattern& pattern, const SimulationOptions& options)
    : pattern(pattern)
    , options(options)
    , random(options.seed)
    , startAt(this->events.now() + settleTime)
    , registry(this->events, options.seed, options.registry, [this] {
        for (auto& entry : this->entries) {
            DispatchDecisions decisions;
            entry.policy->sync(this->events.now(), this->registry.replicaState(), decisions);
            this->executeDecisions(entry, decisions);
        }
    })
{
    this->routeLoads = pattern.routes;
    if (this->routeLoads.empty()) {
        this->routeLoads.push_back({ "route", 1, pattern.kind, 1, pattern.work, pattern.targetLatency, pattern.deadline });
    }
    for (const auto& load : this->routeLoads) {
        const RouteItem item { "host.example", "/" + std::string { load.name }, load.kind, load.deadline, load.targetLatency, load.priority, 2, { { "service", 1 } } };
        this->routes.push_back(std::make_shared<const CompiledRoute>(CompiledRoute { std::string { load.name }, 1, item }));
    }
    for (std::uint32_t i = 0; i < pattern.entryVms; ++i) {
        DispatchOptions dispatch;
        dispatch.zone = "zone";
        dispatch.preferenceSeed = i + 1;
        dispatch.placement = options.placement;
        const auto linkSpeed = static_cast<double>(pattern.linkBytesPerSecond) * (i % 4 == 0 ? pattern.largeLinkFactor : 1);
        dispatch.linkBytesPerSecond = options.isLinkSpeedKnown ? static_cast<std::size_t>(linkSpeed) : 0;
        auto& entry = this->entries.emplace_back();
        entry.node = NodeId { 100 + i };
        entry.policy = std::make_unique<Policy>(dispatch);
        entry.linkBytesPerSecond = linkSpeed;
        entry.policy->setEntryCount(pattern.entryVms);
    }
}

template <DispatchPolicy Policy>
bool Simulation<Policy>::isActive(const Disturbance& disturbance) const
{
    const auto elapsed = this->events.now() - this->startAt;
    return elapsed >= disturbance.from && elapsed < disturbance.until;
}

template <DispatchPolicy Policy>
double Simulation<Policy>::waveFactor(std::size_t entryNumber) const
{
    // Numbers that differ by one are in the same group, so that each group has large entry VMs.
    const auto delay = static_cast<double>(entryNumber / waveGroups % waveGroups) / (2 * waveGroups);
    const std::chrono::duration<double> elapsed { this->events.now() - this->startAt };
    const auto phase = elapsed / std::chrono::duration<double> { this->pattern.wavePeriod } - delay;
    return 1 + this->pattern.waveShare * std::sin(2 * std::numbers::pi * phase);
}

template <DispatchPolicy Policy>
double Simulation<Policy>::entryWeight(std::size_t entryNumber) const
{
    if (this->pattern.entrySpread == 0 || this->entries.size() < 2) {
        return this->waveFactor(entryNumber);
    }
    const auto position = 2 * static_cast<double>(entryNumber) / static_cast<double>(this->entries.size() - 1) - 1;
    return (1 + this->pattern.entrySpread * position) * this->waveFactor(entryNumber);
}

template <DispatchPolicy Policy>
double Simulation<Policy>::arrivalRate() const
{
    auto rate = this->pattern.requestsPerSecond;
    for (const auto& disturbance : this->pattern.disturbances) {
        rate *= disturbance.kind == DisturbanceKind::Burst && this->isActive(disturbance) ? disturbance.factor : 1;
    }
    if (this->pattern.waveShare > 0) {
        double sum = 0;
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            sum += this->entryWeight(i);
        }
        rate *= sum / static_cast<double>(this->entries.size());
    }
    return rate;
}

template <DispatchPolicy Policy>
KeyNumber Simulation<Policy>::chooseKey()
{
    for (std::size_t i = 0; i < this->pattern.disturbances.size(); ++i) {
        const auto& disturbance = this->pattern.disturbances[i];
        if (disturbance.kind == DisturbanceKind::HotRange && this->isActive(disturbance) && this->random.share() < disturbance.share) {
            const auto first = 20'000 * (i + 1);
            return static_cast<KeyNumber>(first + this->random.below(disturbance.keys));
        }
    }
    // The cube skews the distribution towards low keys, so that busy keys are adjacent.
    return static_cast<KeyNumber>(std::pow(this->random.share(), 3) * keyNumberCount);
}

template <DispatchPolicy Policy>
std::size_t Simulation<Policy>::chooseRoute()
{
    if (this->routeLoads.size() == 1) {
        return 0;
    }
    auto share = this->random.share();
    for (std::size_t i = 0; i + 1 < this->routeLoads.size(); ++i) {
        share -= this->routeLoads[i].share;
        if (share < 0) {
            return i;
        }
    }
    return this->routeLoads.size() - 1;
}

template <DispatchPolicy Policy>
typename Simulation<Policy>::Entry& Simulation<Policy>::chooseEntry()
{
    // Rejection sampling: an entry VM is accepted in proportion to its weight.
    const auto maxWeight = (1 + this->pattern.entrySpread) * (1 + this->pattern.waveShare);
    while (true) {
        const auto number = this->random.below(this->entries.size());
        if (maxWeight == 1 || this->random.share() * maxWeight < this->entryWeight(number)) {
            return this->entries[number];
        }
    }
}

template <DispatchPolicy Policy>
void Simulation<Policy>::addUpstream(std::size_t number)
{
    const auto name = "upstream-" + std::to_string(number);
    const auto incarnation = static_cast<std::uint64_t>(number + 1);
    const Endpoint endpoint { "10.0.0.1", static_cast<std::uint16_t>(1'000 + number) };
    RegisterUpstream announcement { { name, incarnation }, "service", endpoint, "zone", this->pattern.slots, false };
    const auto drawnSpeed = this->random.between(this->pattern.minSpeed, this->pattern.maxSpeed);
    const auto speed = this->pattern.speeds.empty() ? drawnSpeed : this->pattern.speeds[number % this->pattern.speeds.size()];
    this->upstreams.emplace_back(this->events, this->random, this->pattern, std::move(announcement), speed);
    auto& upstream = this->upstreams.back();
    this->events.after(Duration { static_cast<Duration::rep>(this->random.below(static_cast<std::uint64_t>(Duration { heartbeatInterval }.count()))) }, [this, &upstream] { this->sendHeartbeat(upstream, true); });
}

template <DispatchPolicy Policy>
void Simulation<Policy>::sendHeartbeat(UpstreamModel& upstream, bool isRegular)
{
    if (upstream.isStopped()) {
        return;
    }
    const auto sentAt = this->events.now();
    this->events.after(networkDelay, [this, &upstream, sentAt, heartbeat = upstream.heartbeat()] {
        this->registry.heartbeat(heartbeat, [this, &upstream, sentAt](const KeyHeartbeatReply& reply) {
            if (upstream.handleReply(sentAt, reply)) {
                this->events.after(releaseInterval, [this, &upstream] { this->sendHeartbeat(upstream, false); });
            }
        });
    });
    if (isRegular) {
        this->events.after(heartbeatInterval, [this, &upstream] { this->sendHeartbeat(upstream, true); });
    }
}

template <DispatchPolicy Policy>
void Simulation<Policy>::slowDownMomentarily(UpstreamModel& upstream, const Disturbance& disturbance)
{
    if (!this->isActive(disturbance)) {
        return;
    }
    if (this->random.share() < disturbance.share) {
        upstream.slowDownUntil(this->events.now() + momentaryTime, disturbance.factor);
    }
    this->events.after(momentaryTime, [this, &upstream, &disturbance] { this->slowDownMomentarily(upstream, disturbance); });
}

template <DispatchPolicy Policy>
void Simulation<Policy>::scheduleDisturbances()
{
    for (const auto& disturbance : this->pattern.disturbances) {
        const auto affected = static_cast<std::size_t>(std::lround(disturbance.share * this->pattern.upstreams));
        const auto during = [&](auto begin, auto end) {
            this->events.at(this->startAt + disturbance.from, begin);
            this->events.at(this->startAt + disturbance.until, end);
        };
        if (disturbance.kind == DisturbanceKind::SlowUpstreams) {
            const auto set = [this, affected](double factor) {
                for (std::size_t i = 0; i < affected; ++i) {
                    this->upstreams[i].setSlowness(factor);
                }
            };
            during([set, &disturbance] { set(disturbance.factor); }, [set] { set(1); });
        } else if (disturbance.kind == DisturbanceKind::Shedding) {
            const auto set = [this](double share) {
                for (auto& upstream : this->upstreams) {
                    upstream.setRefusedShare(share);
                }
            };
            during([set, &disturbance] { set(disturbance.share); }, [set] { set(0); });
        } else if (disturbance.kind == DisturbanceKind::MomentarySlowness) {
            this->events.at(this->startAt + disturbance.from, [this, &disturbance] {
                for (auto& upstream : this->upstreams) {
                    const auto phase = scaled(momentaryTime, this->random.share());
                    this->events.after(phase, [this, &upstream, &disturbance] { this->slowDownMomentarily(upstream, disturbance); });
                }
            });
        } else if (disturbance.kind == DisturbanceKind::Partition) {
            const auto set = [this, affected](bool isPartitioned) {
                for (std::size_t i = 0; i < affected; ++i) {
                    this->upstreams[i].setPartitioned(isPartitioned);
                }
            };
            during([set] { set(true); }, [set] { set(false); });
        } else if (disturbance.kind == DisturbanceKind::Replacement) {
            const auto interval = (disturbance.until - disturbance.from) / std::max<std::size_t>(affected, 1);
            this->events.at(this->startAt + disturbance.from, [this, affected, interval] { this->replaceUpstreams(0, affected, interval); });
        }
    }
}

template <DispatchPolicy Policy>
void Simulation<Policy>::replaceUpstreams(std::size_t number, std::size_t count, Duration interval)
{
    constexpr std::chrono::milliseconds drainTime { 2'500 };
    if (number == count) {
        return;
    }
    this->addUpstream(this->upstreams.size());
    auto& leaving = this->upstreams[number];
    leaving.beginDrain();
    this->sendHeartbeat(leaving, false);
    this->events.after(drainTime, [this, &leaving] {
        leaving.stop();
        this->registry.depart(leaving.key());
    });
    this->events.after(interval, [this, number, count, interval] { this->replaceUpstreams(number + 1, count, interval); });
}

template <DispatchPolicy Policy>
void Simulation<Policy>::reportLoad(Entry& entry)
{
    this->registry.report(entry.node, entry.policy->takeKeyLoads(maxReportedKeys));
    this->events.after(reportInterval, [this, &entry] { this->reportLoad(entry); });
}

template <DispatchPolicy Policy>
void Simulation<Policy>::handleArrival()
{
    if (this->events.now() >= this->startAt + this->pattern.duration) {
        return;
    }
    auto caller = std::make_shared<Caller>(Caller { this->events.now(), this->pattern.isSharded ? std::optional { this->chooseKey() } : std::nullopt, this->chooseRoute(), 1, false });
    for (const auto& disturbance : this->pattern.disturbances) {
        if (disturbance.kind == DisturbanceKind::ImpatientCallers && this->isActive(disturbance) && this->random.share() < disturbance.share) {
            caller->isImpatient = true;
            caller->retriesLeft = static_cast<std::uint32_t>(disturbance.factor);
        }
    }
    ++this->figures.requests;
    this->figures.possible += this->routeLoads[caller->route].value;
    this->attempt(caller);
    this->events.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double> { this->random.exponential(1 / this->arrivalRate()) }), [this] { this->handleArrival(); });
}

template <DispatchPolicy Policy>
void Simulation<Policy>::attempt(const std::shared_ptr<Caller>& caller)
{
    auto& entry = this->chooseEntry();
    this->events.after(networkDelay, [this, &entry, caller] {
        const auto now = this->events.now();
        const PendingRequestId id { ++this->lastId };
        const auto deadline = (this->pattern.keepsDeadline ? caller->firstAt : now) + this->routeLoads[caller->route].deadline;
        entry.attempts.emplace(id, Attempt { caller, deadline });
        DispatchDecisions decisions;
        entry.policy->submit(now, DispatchRequest { id, this->routes[caller->route], caller->key, now, deadline, requestBytes }, decisions);
        this->executeDecisions(entry, decisions);
    });
}

template <DispatchPolicy Policy>
void Simulation<Policy>::executeDecisions(Entry& entry, const DispatchDecisions& decisions)
{
    for (const auto& decision : decisions) {
        if (const auto* send = std::get_if<SendRequest>(&decision)) {
            this->sendTo(entry, *send);
        } else if (const auto* refusal = std::get_if<RefuseRequest>(&decision)) {
            this->handleRefusal(entry, *refusal);
        } else if (const auto* deliver = std::get_if<DeliverResponse>(&decision)) {
            this->handleDelivery(entry, deliver->id);
        } else if (const auto* failure = std::get_if<FailRequest>(&decision)) {
            ++this->figures.failed;
            entry.attempts.erase(failure->id);
        } else if (const auto* cancel = std::get_if<CancelAttempt>(&decision)) {
            auto& attempt = entry.attempts.at(cancel->id);
            if (attempt.upstream != nullptr) {
                // A connection with an unanswered request carries no other, so it is closed.
                auto& connections = entry.connections[attempt.upstream];
                --connections.busy;
                --connections.open;
                attempt.upstream->cancel(attempt.work);
                attempt.work = 0;
            }
        }
    }
    this->scheduleTimer(entry);
}

template <DispatchPolicy Policy>
void Simulation<Policy>::sendTo(Entry& entry, const SendRequest& send)
{
    auto& attempt = entry.attempts.at(send.id);
    const auto target = std::ranges::find(this->upstreams, send.upstream, &UpstreamModel::key);
    const auto work = ++this->lastId;
    attempt.work = work;
    attempt.upstream = &*target;
    auto& connections = entry.connections[&*target];
    ++connections.busy;
    if (connections.busy > connections.open) {
        ++connections.open;
        ++this->figures.connections;
    }
    this->events.after(networkDelay, [this, &entry, upstream = &*target, work, id = send.id, key = attempt.caller->key, deadline = attempt.deadline, length = this->routeLoads[attempt.caller->route].work] {
        upstream->receive({ work, key, deadline, length, [this, &entry, id, work](AttemptOutcome outcome, std::optional<ReportedLoad> load) {
                               this->events.after(networkDelay, [this, &entry, id, work, outcome, load] { this->handleAttemptEnd(entry, id, work, outcome, load); });
                           } });
    });
}

template <DispatchPolicy Policy>
void Simulation<Policy>::handleAttemptEnd(Entry& entry, PendingRequestId id, std::uint64_t work, AttemptOutcome outcome, std::optional<ReportedLoad> load)
{
    const auto found = entry.attempts.find(id);
    if (found == entry.attempts.end() || found->second.work != work) {
        return;
    }
    if (outcome == AttemptOutcome::Answered) {
        entry.policy->responseReceived(id, this->pattern.responseBytes);
    }
    --entry.connections[found->second.upstream].busy;
    found->second.work = 0;
    DispatchDecisions decisions;
    if (load) {
        entry.policy->noticeReceived(this->events.now(), id, { false, {}, load }, decisions);
    }
    entry.policy->attemptEnded(this->events.now(), id, outcome, decisions);
    this->executeDecisions(entry, decisions);
}

template <DispatchPolicy Policy>
void Simulation<Policy>::handleRefusal(Entry& entry, const RefuseRequest& refusal)
{
    const auto caller = entry.attempts.at(refusal.id).caller;
    entry.attempts.erase(refusal.id);
    if (caller->retriesLeft == 0) {
        ++this->figures.refused;
        return;
    }
    --caller->retriesLeft;
    auto wait = caller->isImpatient ? Duration { impatientRetryDelay } : refusal.retryAfter;
    if (this->pattern.keepsDeadline) {
        wait = std::clamp<Duration>((caller->firstAt + this->routeLoads[caller->route].deadline - this->events.now()) / 3, Duration::zero(), wait);
    }
    this->events.after(networkDelay + wait, [this, caller] { this->attempt(caller); });
}

template <DispatchPolicy Policy>
void Simulation<Policy>::handleDelivery(Entry& entry, PendingRequestId id)
{
    const auto attempt = entry.attempts.at(id);
    entry.attempts.erase(id);
    auto arrivesAt = this->events.now();
    if (entry.linkBytesPerSecond > 0) {
        const std::chrono::duration<double> transfer { static_cast<double>(this->pattern.responseBytes) / entry.linkBytesPerSecond };
        entry.linkFreeAt = std::max(entry.linkFreeAt, arrivesAt) + std::chrono::duration_cast<Duration>(transfer);
        arrivesAt = entry.linkFreeAt;
    }
    arrivesAt += networkDelay;
    const auto latency = arrivesAt - attempt.caller->firstAt;
    if (arrivesAt > attempt.deadline) {
        ++this->figures.failed;
        return;
    }
    const auto& load = this->routeLoads[attempt.caller->route];
    const bool isInTime = latency <= load.targetLatency;
    ++(isInTime ? this->figures.inTime : this->figures.late);
    this->figures.earned += load.value * (isInTime ? 1 : lateWorth);
    this->figures.latencies->record(latency);
}

template <DispatchPolicy Policy>
void Simulation<Policy>::scheduleTimer(Entry& entry)
{
    const auto due = entry.policy->nextDeadline();
    if (!due || (entry.timer && *entry.timer <= *due)) {
        return;
    }
    entry.timer = due;
    this->events.at(*due, [this, &entry, at = *due] {
        if (entry.timer != at) {
            return;
        }
        entry.timer.reset();
        DispatchDecisions decisions;
        entry.policy->advance(this->events.now(), decisions);
        this->executeDecisions(entry, decisions);
    });
}

/// Computes the bound with a fluid model: upstreams always work on requests that can still be answered in time, and all
/// other requests count as late.
template <DispatchPolicy Policy>
double Simulation<Policy>::bound() const
{
    if (this->routeLoads.size() > 1) {
        // Requests of different value and work are not one fluid.
        return 1;
    }
    constexpr std::chrono::milliseconds step { 10 };
    const auto seconds = [](Duration duration) { return std::chrono::duration<double> { duration }.count(); };
    double waiting = 0;
    double inTime = 0;
    double offered = 0;
    for (std::chrono::milliseconds at {}; at < this->pattern.duration; at += step) {
        const auto active = [&](const Disturbance& disturbance) { return at >= disturbance.from && at < disturbance.until; };
        double arrivals = this->pattern.requestsPerSecond;
        double slowed = 0;
        double slowness = 1;
        for (const auto& disturbance : this->pattern.disturbances) {
            if (disturbance.kind == DisturbanceKind::Burst && active(disturbance)) {
                arrivals *= disturbance.factor;
            } else if (disturbance.kind == DisturbanceKind::SlowUpstreams && active(disturbance)) {
                slowed = disturbance.share;
                slowness = disturbance.factor;
            }
        }
        double capacity = 0;
        for (std::size_t i = 0; i < this->pattern.upstreams; ++i) {
            const bool isSlow = static_cast<double>(i) < std::round(slowed * this->pattern.upstreams);
            const auto cold = at < this->pattern.coldTime - settleTime ? this->pattern.coldFactor : 1;
            capacity += this->pattern.slots * this->upstreams[i].speed() / (seconds(this->pattern.work) * (isSlow ? slowness : 1) * cold);
        }
        if (this->pattern.linkBytesPerSecond > 0) {
            capacity = std::min(capacity, static_cast<double>(this->pattern.linkBytesPerSecond) * this->pattern.entryVms / static_cast<double>(this->pattern.responseBytes));
        }
        offered += arrivals * seconds(step);
        waiting += arrivals * seconds(step);
        const auto served = std::min(waiting, capacity * seconds(step));
        inTime += served;
        waiting = std::min(waiting - served, capacity * seconds(this->pattern.targetLatency));
    }
    inTime += waiting;
    return offered == 0 ? 0 : std::min(1.0, (inTime + lateWorth * (offered - inTime)) / offered);
}

template <DispatchPolicy Policy>
void Simulation<Policy>::recordSpread()
{
    double speeds = 0;
    double arrivals = 0;
    double most = 0;
    double mostBySpeed = 0;
    for (const auto& upstream : this->upstreams) {
        const auto count = static_cast<double>(upstream.arrivals());
        speeds += upstream.speed();
        arrivals += count;
        most = std::max(most, count);
        mostBySpeed = std::max(mostBySpeed, count / upstream.speed());
    }
    if (arrivals == 0) {
        return;
    }
    this->figures.busiestToMean = most * static_cast<double>(this->upstreams.size()) / arrivals;
    this->figures.busiestToSpeed = mostBySpeed * speeds / arrivals;
    const auto firstWindow = UpstreamModel::windowOf(this->startAt);
    const auto endWindow = UpstreamModel::windowOf(this->startAt + this->pattern.duration);
    double sum = 0;
    double squares = 0;
    for (const auto& upstream : this->upstreams) {
        for (const auto& [window, count] : upstream.arrivalsByWindow()) {
            if (window >= firstWindow && window < endWindow) {
                sum += count;
                squares += static_cast<double>(count) * count;
            }
        }
    }
    const auto windows = static_cast<double>(this->upstreams.size()) * static_cast<double>(endWindow - firstWindow);
    const auto mean = sum / windows;
    this->figures.windowDeviation = std::sqrt(std::max(0.0, squares / windows - mean * mean)) / mean;
}

template <DispatchPolicy Policy>
Figures Simulation<Policy>::run()
{
    constexpr std::chrono::milliseconds electionTime { 700 };
    this->events.after(electionTime, [this] {
        const ServiceItem service { this->pattern.isSharded, 110, std::chrono::seconds { 3 } };
        this->registry.changeItems({ { ConfigItem { "service", 1, service, "service" } }, {} });
        for (std::size_t i = 0; i < this->pattern.upstreams; ++i) {
            this->addUpstream(i);
        }
    });
    for (auto& entry : this->entries) {
        this->events.after(reportInterval * (entry.node.value % this->entries.size()) / this->entries.size(), [this, &entry] { this->reportLoad(entry); });
    }
    this->scheduleDisturbances();
    this->events.at(this->startAt, [this] { this->handleArrival(); });
    Duration tail = tailTime;
    for (const auto& load : this->routeLoads) {
        tail = std::max<Duration>(tail, 3 * load.deadline);
    }
    this->events.runUntil(this->startAt + this->pattern.duration + tail);
    for (const auto& upstream : this->upstreams) {
        this->figures.arrivals += upstream.arrivals();
        this->figures.misdirected += upstream.misdirected();
        this->figures.ignored += upstream.ignored();
    }
    this->recordSpread();
    this->figures.bound = this->bound();
    return this->figures;
}

}
