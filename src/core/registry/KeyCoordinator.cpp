#include "core/registry/KeyCoordinator.h"

#include <algorithm>
#include <utility>

namespace teaselturn {

namespace {

    /// Time after its last report at which an entry VM is no longer counted.
    constexpr std::chrono::seconds entryExpiry { 5 };
    /// Weight of a new measurement in the service time of an upstream.
    constexpr double serviceTimeWeight = 0.3;
    /// Minimum number of responses for a new estimate of an upstream's service time.
    constexpr double minimumResponses = 8;
    /// Maximum number of moves or grants in one command. All keys of an evacuated zone move in one round, but the feed
    /// sends entries to entry VMs in datagrams of 2,000 bytes.
    constexpr std::size_t maxRangesPerCommand = 48;
    /// Bounds of an upstream's speed relative to the median upstream.
    constexpr double lowestSpeed = 0.25;
    constexpr double highestSpeed = 2.5;

    bool holdsAny(std::span<const HeldKeys> held, KeyNumber first, KeyNumber last)
    {
        return std::ranges::any_of(held, [first, last](const HeldKeys& keys) { return overlaps(keys.first, keys.last, first, last); });
    }

    template <typename Keys>
    std::uint32_t keyCount(const Keys& keys) noexcept
    {
        return std::uint32_t { keys.last } - keys.first + 1;
    }

    /// Splits moves or grants into as many commands as their limit for one command requires, and adds these.
    template <typename CommandType, typename Item>
    void addInParts(std::vector<Command>& commands, std::string_view service, std::span<const Item> items)
    {
        while (!items.empty()) {
            const auto part = items.first(std::min(maxRangesPerCommand, items.size()));
            commands.push_back(CommandType { std::string { service }, { part.begin(), part.end() } });
            items = items.subspan(part.size());
        }
    }

    /// @return Number of keys of a range that are held under its fence.
    std::uint32_t heldKeyCount(std::span<const HeldKeys> held, const KeyRange& range) noexcept
    {
        std::uint32_t count = 0;
        for (const auto& keys : held) {
            if (keys.fence == range.fence && overlaps(keys.first, keys.last, range.first, range.last)) {
                count += std::uint32_t { std::min(keys.last, range.last) } - std::max(keys.first, range.first) + 1;
            }
        }
        return count;
    }

    /// @return True if the rows cover every key of the range.
    bool isReleased(std::span<const ReleasedKeys> released, KeyNumber first, KeyNumber last)
    {
        return std::ranges::any_of(released, [first, last](const ReleasedKeys& keys) { return keys.first <= first && last <= keys.last; });
    }

    std::string findHandover(std::span<const ReleasedKeys> released, KeyNumber first, KeyNumber last)
    {
        const auto found = std::ranges::find_if(released, [first, last](const ReleasedKeys& keys) { return keys.first <= first && last <= keys.last; });
        return found == released.end() ? std::string {} : found->handover;
    }

    /// @return True if a draining upstream owns keys that are not moving to another upstream.
    bool hasDrainingOwner(std::span<const std::string> services, const RegistryState& state)
    {
        const auto isDraining = [&state](const KeyRange& range) {
            const auto* owner = range.isMoving() ? nullptr : state.findUpstream(range.owner.name);
            return owner != nullptr && owner->announcement.key == range.owner && owner->state == UpstreamState::Draining;
        };
        return std::ranges::any_of(services, [&](const std::string& service) { return std::ranges::any_of(state.keyRanges(service), isDraining); });
    }

}

void KeyCoordinator::becameLeader(Instant now, const RegistryState&)
{
    this->leaderSince = now;
    this->lastBalancedAt = now;
    this->balancedEvacuations = {};
    this->contacts.clear();
    this->warmUpWatch.becameLeader();
    this->revocations.clear();
    this->proposedAssignments.clear();
    this->loads.clear();
    this->lastReportAt.clear();
}

std::optional<Command> KeyCoordinator::registrationFor(const KeyHeartbeat& heartbeat, const RegistryState& state) const
{
    const auto& announcement = heartbeat.announcement;
    const auto* registered = state.findUpstream(announcement.key.name);
    if (registered == nullptr || registered->announcement.key != announcement.key || registered->state == UpstreamState::Dead) {
        return announcement;
    }
    if (registered->state == UpstreamState::Gone || registered->announcement == announcement) {
        return std::nullopt;
    }
    const auto* contact = this->findContact(announcement.key);
    const bool isOvertaken = contact != nullptr && heartbeat.sequence <= contact->sequence;
    const bool wouldEndDraining = registered->state == UpstreamState::Draining && !announcement.isDraining;
    return isOvertaken || wouldEndDraining ? std::nullopt : std::optional<Command> { announcement };
}

const KeyCoordinator::Contact* KeyCoordinator::findContact(const UpstreamKey& key) const
{
    const auto found = this->contacts.find(key.name);
    return found == this->contacts.end() || found->second.key != key ? nullptr : &found->second;
}

bool KeyCoordinator::recordHeartbeat(Instant now, const KeyHeartbeat& heartbeat)
{
    auto& contact = this->contacts[heartbeat.announcement.key.name];
    if (contact.key != heartbeat.announcement.key) {
        contact = Contact { heartbeat.announcement.key, 0, now, now, {}, std::nullopt };
    } else if (heartbeat.sequence <= contact.sequence) {
        return false;
    } else {
        const auto interval = std::min<Duration>(now - contact.lastHeartbeatAt, std::chrono::seconds { 1 });
        // A heartbeat shortly after the last one responds to a revocation and does not shift the regular schedule.
        if (interval > std::chrono::milliseconds { 300 }) {
            contact.nextExpectedAt = now + interval;
        }
    }
    contact.sequence = heartbeat.sequence;
    contact.lastHeartbeatAt = now;
    return true;
}

void KeyCoordinator::recordReleases(Instant now, const KeyHeartbeat& heartbeat, const RegistryState& state)
{
    const auto& announcement = heartbeat.announcement;
    for (auto& revocation : this->revocations) {
        if (revocation.owner != announcement.key || revocation.assignAt || heartbeat.sequence <= revocation.sequence) {
            continue;
        }
        const auto* range = state.findRange(announcement.service, revocation.first);
        if (range == nullptr || range->fence != revocation.fence) {
            continue;
        }
        if (holdsAny(heartbeat.held, revocation.first, revocation.last)) {
            revocation.isConfirmed = true;
            continue;
        }
        if (!revocation.isConfirmed && now < revocation.grantedUntil && !isReleased(heartbeat.released, revocation.first, revocation.last)) {
            continue;
        }
        revocation.handover = findHandover(heartbeat.released, revocation.first, revocation.last);
        revocation.assignAt = now + std::max<Duration>(this->timeUntilReachable(now, range->target) - this->timing.assignLead, Duration::zero());
    }
}

std::vector<Command> KeyCoordinator::assignReleased(Instant now, const RegistryState& state)
{
    absl::btree_map<std::string, std::vector<KeyRangeGrant>> assignments;
    // A revocation is kept until its assignment is applied: until then, no reply may grant the keys to the old owner
    // again.
    std::erase_if(this->revocations, [&](const Revocation& revocation) {
        const auto* range = state.findRange(revocation.service, revocation.first);
        if (range == nullptr || range->owner != revocation.owner || range->fence != revocation.fence || !range->isMoving()) {
            return true;
        }
        if (revocation.assignAt && now >= *revocation.assignAt) {
            // The range may have been joined with a later move, whose keys were not released.
            assignments[revocation.service].push_back({ revocation.first, std::min(range->last, revocation.last), range->target, revocation.handover, this->timeUntilReachable(now, range->target) });
        }
        return false;
    });
    std::vector<Command> commands;
    for (const auto& [service, grants] : assignments) {
        addInParts<AssignKeyRanges, KeyRangeGrant>(commands, service, grants);
    }
    return commands;
}

bool KeyCoordinator::isRevoked(const KeyRange& range) const
{
    return std::ranges::any_of(this->revocations, [&range](const Revocation& revocation) { return revocation.owner == range.owner && revocation.fence == range.fence && revocation.first == range.first; });
}

bool KeyCoordinator::mayRevoke(const KeyRange& range, const RegistryState& state) const
{
    const auto* owner = state.findUpstream(range.owner.name);
    // A draining upstream has little time, so its keys are revoked even if the target cannot hold them yet; they then
    // stay unserved until it can.
    const bool isDraining = owner == nullptr || !owner->isUsable();
    return isDraining || this->isRevoked(range) || this->findContact(range.target) != nullptr;
}

Duration KeyCoordinator::timeUntilReachable(Instant now, const UpstreamKey& key) const
{
    const auto* contact = this->findContact(key);
    if (contact == nullptr || contact->replyDelayedUntil >= now + this->timing.assignLead) {
        return Duration::zero();
    }
    return std::max<Duration>(contact->nextExpectedAt - now, Duration::zero());
}

void KeyCoordinator::revoke(const KeyHeartbeat& heartbeat, const KeyRange& range)
{
    if (!this->isRevoked(range)) {
        const bool isHeld = holdsAny(heartbeat.held, range.first, range.last);
        this->revocations.push_back({ heartbeat.announcement.service, range.owner, range.first, range.last, range.fence, heartbeat.sequence, isHeld, this->latestLeaseEnd(range.owner), std::nullopt, {} });
    }
}

bool KeyCoordinator::isProposedForAnother(std::string_view service, const KeyRange& range) const
{
    return std::ranges::any_of(this->proposedAssignments, [&](const AssignKeyRanges& assignment) {
        return assignment.service == service && std::ranges::any_of(assignment.grants, [&range](const KeyRangeGrant& grant) { return grant.owner != range.owner && overlaps(grant.first, grant.last, range.first, range.last); });
    });
}

bool KeyCoordinator::hasUpdate(const KeyHeartbeat& heartbeat, const RegistryState& state) const
{
    const auto& announcement = heartbeat.announcement;
    std::uint32_t granted = 0;
    for (const auto& range : state.keyRanges(announcement.service)) {
        if (range.owner != announcement.key || (range.isMoving() && this->isRevoked(range)) || this->isProposedForAnother(announcement.service, range)) {
            continue;
        }
        if (range.isMoving() || heldKeyCount(heartbeat.held, range) != keyCount(range)) {
            return true;
        }
        granted += keyCount(range);
    }
    std::uint32_t held = 0;
    for (const auto& keys : heartbeat.held) {
        held += keyCount(keys);
    }
    return held != granted;
}

void KeyCoordinator::recordDelayedReply(const UpstreamKey& key, Instant until)
{
    this->contacts[key.name].replyDelayedUntil = until;
}

KeyHeartbeatReply KeyCoordinator::makeReply(const KeyHeartbeat& heartbeat, const RegistryState& state)
{
    const auto& announcement = heartbeat.announcement;
    const auto* service = state.findService(announcement.service);
    if (service == nullptr || !service->isSharded || !state.isAlive(announcement.key)) {
        return {};
    }
    KeyHeartbeatReply reply { true, {}, this->timing.lease };
    for (const auto& range : state.keyRanges(announcement.service)) {
        if (range.owner != announcement.key || this->isProposedForAnother(announcement.service, range)) {
            continue;
        }
        if (range.isMoving() && this->mayRevoke(range, state)) {
            this->revoke(heartbeat, range);
            continue;
        }
        reply.grants.push_back(range);
    }
    // The upstream counts its lease from the time at which it sent the heartbeat, which is earlier than its arrival.
    auto& contact = this->contacts[announcement.key.name];
    contact.leaseEnd = contact.lastHeartbeatAt + this->timing.lease + this->timing.lease / this->timing.driftDivisor;
    contact.replyDelayedUntil = {};
    return reply;
}

void KeyCoordinator::addLoad(Instant now, const KeyLoadReport& report, const RegistryState& state)
{
    this->lastReportAt[report.entry] = now;
    for (const auto& service : report.services) {
        this->loads[service.service].add(service.loads);
        this->countResponses(now, service, state);
    }
}

void KeyCoordinator::countResponses(Instant now, const ServiceKeyLoad& load, const RegistryState& state)
{
    for (const auto& keys : load.loads) {
        const auto* range = keys.answered == 0 ? nullptr : state.findRange(load.service, keys.first);
        if (range == nullptr || !range->isOwned()) {
            continue;
        }
        auto& totals = this->responseTotals.try_emplace(range->owner, ResponseTotals { now, 0, 0 }).first->second;
        totals.count += keys.answered;
        totals.busyMs += keys.busyMs;
    }
}

void KeyCoordinator::updateServiceTimes(Instant now, const RegistryState& state)
{
    absl::erase_if(this->responseTotals, [&](const auto& item) {
        const auto& [key, totals] = item;
        const auto* upstream = state.findUpstream(key.name);
        if (upstream == nullptr || upstream->announcement.key != key) {
            this->serviceTimes.erase(key);
            return true;
        }
        if (totals.count < minimumResponses) {
            return false;
        }
        // Both are upper bounds of the service time. The mean latency equals it if no request waits; the slot time per
        // response equals it if the upstream is never idle.
        const auto elapsedMs = std::chrono::duration<double, std::milli> { now - totals.since }.count();
        const auto bound = std::min(totals.busyMs / totals.count, elapsedMs * std::max(1U, upstream->announcement.requestSlots) / totals.count);
        auto& estimate = this->serviceTimes.try_emplace(key, bound).first->second;
        estimate += (bound - estimate) * serviceTimeWeight;
        return true;
    });
}

std::uint32_t KeyCoordinator::entryVmCount(Instant now) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(this->lastReportAt, [now](const auto& entry) { return now - entry.second < entryExpiry; }));
}

bool KeyCoordinator::mayHoldLease(Instant now, const UpstreamKey& key, const RegistryState& state) const
{
    const auto* registered = state.findUpstream(key.name);
    if (registered != nullptr && registered->announcement.key.incarnation > key.incarnation) {
        // A later incarnation shows that this one has ended.
        return false;
    }
    return now < this->latestLeaseEnd(key);
}

Instant KeyCoordinator::latestLeaseEnd(const UpstreamKey& key) const
{
    const auto formerLeaseEnd = this->leaderSince + this->timing.lease + this->timing.lease / this->timing.driftDivisor;
    const auto* contact = this->findContact(key);
    return contact != nullptr && contact->leaseEnd ? std::max(*contact->leaseEnd, formerLeaseEnd) : formerLeaseEnd;
}

bool KeyCoordinator::isAssignable(Instant now, const KeyRange& range, const RegistryState& state) const
{
    return !range.isOwned() || (!state.isAlive(range.owner) && !this->mayHoldLease(now, range.owner, state));
}

void KeyCoordinator::removeUnresponsiveUpstreams(Instant now, const RegistryState& state, std::vector<Command>& commands) const
{
    for (const auto& [name, upstream] : state.upstreams()) {
        const auto& key = upstream.announcement.key;
        if (!state.isAlive(key)) {
            continue;
        }
        const auto* contact = this->findContact(key);
        const auto lastHeartbeatAt = contact == nullptr ? this->leaderSince : std::max(contact->lastHeartbeatAt, this->leaderSince);
        if (now - lastHeartbeatAt > this->timing.lease + this->timing.lease / this->timing.driftDivisor) {
            commands.push_back(RemoveUpstream { key, false });
        }
    }
}

std::vector<KeyHolder> KeyCoordinator::holders(Instant now, std::string_view service, const RegistryState& state) const
{
    std::vector<double> times;
    for (const auto& [key, time] : this->serviceTimes) {
        times.push_back(time);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    std::vector<KeyHolder> result;
    for (const auto& [name, upstream] : state.upstreams()) {
        const auto& announcement = upstream.announcement;
        if (announcement.service != service || !state.isAlive(announcement.key)) {
            continue;
        }
        const auto estimate = this->serviceTimes.find(announcement.key);
        const auto speed = estimate == this->serviceTimes.end() || estimate->second <= 0 ? 1.0 : std::clamp(*middle / estimate->second, lowestSpeed, highestSpeed);
        const auto slots = std::max(1U, announcement.requestSlots);
        const auto time = estimate == this->serviceTimes.end() ? 0.0 : std::max(1.0, estimate->second);
        const auto maxLoad = time == 0 ? 0.0 : slots * std::chrono::duration<double, std::milli> { KeyLoadTable::decayTime }.count() / time;
        const bool acceptsKeys = upstream.isUsable() && !state.isEvacuated(announcement.zone);
        const bool isLimited = acceptsKeys && this->warmUpWatch.isLimited(now, announcement.key, state);
        result.push_back({ announcement.key, slots * speed, maxLoad, acceptsKeys && !isLimited, isLimited });
    }
    if (std::ranges::none_of(result, &KeyHolder::acceptsKeys)) {
        for (auto& holder : result) {
            holder.acceptsKeys = std::exchange(holder.keepsKeys, false);
        }
    }
    return result;
}

void KeyCoordinator::placeKeys(Instant now, std::string_view service, const RegistryState& state, std::vector<Command>& commands)
{
    const auto available = this->holders(now, service, state);
    if (available.empty()) {
        return;
    }
    const auto announcedAt = this->firstAnnouncedAt.emplace(std::string { service }, now).first->second;
    const auto assigned = state.keyRanges(service);
    if (assigned.empty() && now - announcedAt < this->timing.settleTime) {
        return;
    }
    static const std::vector<KeyRange> unowned { KeyRange { 0, keyNumberCount - 1, {}, {}, {}, {} } };
    const auto ranges = assigned.empty() ? std::span<const KeyRange> { unowned } : assigned;
    const auto found = this->loads.find(service);
    const auto weights = found == this->loads.end() ? std::span<const float> {} : found->second.weights();
    auto grants = placeFreeKeys(
        ranges, [&](const KeyRange& range) { return this->isAssignable(now, range, state); }, available, weights);
    for (auto& grant : grants) {
        grant.expectedDelay = this->timeUntilReachable(now, grant.owner);
    }
    if (!grants.empty()) {
        commands.push_back(AssignKeyRanges { std::string { service }, std::move(grants) });
    }
}

void KeyCoordinator::balanceKeys(Instant now, std::string_view service, const RegistryState& state, std::vector<Command>& commands)
{
    const auto found = this->loads.find(service);
    const auto weights = found == this->loads.end() ? std::span<const float> {} : found->second.weights();
    const auto moves = planKeyMoves(state.keyRanges(service), this->holders(now, service, state), weights, {});
    addInParts<BeginKeyMoves, KeyRangeMove>(commands, service, moves);
}

std::vector<Command> KeyCoordinator::decide(Instant now, const RegistryState& state)
{
    // Every earlier decision is applied or dropped by now.
    this->proposedAssignments.clear();
    auto commands = this->assignReleased(now, state);
    this->removeUnresponsiveUpstreams(now, state, commands);
    std::vector<std::string> sharded;
    state.forEachItem([&sharded](const ConfigItem& item) {
        const auto* service = std::get_if<ServiceItem>(&item.content);
        if (service != nullptr && service->isSharded) {
            sharded.push_back(item.name);
        }
    });
    for (const auto& service : sharded) {
        this->placeKeys(now, service, state, commands);
    }
    const auto elapsed = now - this->lastBalancedAt;
    if (commands.empty() && (elapsed >= this->timing.balanceInterval || hasDrainingOwner(sharded, state) || this->hasNewEvacuations(state))) {
        this->balancedEvacuations = state.evacuationsChangedAt();
        this->lastBalancedAt = now;
        for (auto& [service, load] : this->loads) {
            load.decay(elapsed);
        }
        this->updateServiceTimes(now, state);
        for (const auto& service : sharded) {
            this->balanceKeys(now, service, state, commands);
        }
    }
    for (const auto& command : commands) {
        if (const auto* assignment = std::get_if<AssignKeyRanges>(&command)) {
            this->proposedAssignments.push_back(*assignment);
        }
    }
    return commands;
}

}
