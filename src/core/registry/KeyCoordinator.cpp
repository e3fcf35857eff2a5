#include "core/registry/KeyCoordinator.h"

#include <algorithm>

namespace teaselturn {

namespace {

    /// How long an entry VM counts after its last report.
    constexpr std::chrono::seconds entryMemory { 5 };
    /// Weight of a new measurement in the service time of an upstream.
    constexpr double serviceTimeWeight = 0.3;
    /// Answers below which an upstream's service time is not estimated anew.
    constexpr double minimumAnswers = 8;
    /// Bounds of the speed of an upstream relative to the others.
    constexpr double lowestSpeed = 0.25;
    constexpr double highestSpeed = 2.5;

    bool isListed(std::span<const HeldKeys> held, KeyNumber first, KeyNumber last)
    {
        return std::ranges::any_of(held, [first, last](const HeldKeys& keys) { return overlaps(keys.first, keys.last, first, last); });
    }

    template <typename Keys>
    std::uint32_t keyCount(const Keys& keys) noexcept
    {
        return std::uint32_t { keys.last } - keys.first + 1;
    }

    /// @return Keys of a range that are held under its fence.
    std::uint32_t heldOf(std::span<const HeldKeys> held, const KeyRange& range) noexcept
    {
        std::uint32_t count = 0;
        for (const auto& keys : held) {
            if (keys.fence == range.fence && overlaps(keys.first, keys.last, range.first, range.last)) {
                count += std::uint32_t { std::min(keys.last, range.last) } - std::max(keys.first, range.first) + 1;
            }
        }
        return count;
    }

    std::string handoverOf(std::span<const ReleasedKeys> released, KeyNumber first, KeyNumber last)
    {
        const auto found = std::ranges::find_if(released, [first, last](const ReleasedKeys& keys) { return keys.first <= first && last <= keys.last; });
        return found == released.end() ? std::string {} : found->handover;
    }

    /// @return True where an upstream that leaves owns keys that are not on their way to another.
    bool hasLeavingOwner(std::span<const std::string> services, const RegistryState& state)
    {
        const auto isLeaving = [&state](const KeyRange& range) {
            const auto* owner = range.isMoving() ? nullptr : state.findUpstream(range.owner.name);
            return owner != nullptr && owner->announcement.key == range.owner && owner->state == UpstreamState::Draining;
        };
        return std::ranges::any_of(services, [&](const std::string& service) { return std::ranges::any_of(state.keyRanges(service), isLeaving); });
    }

}

void KeyCoordinator::becameLeader(Instant now, const RegistryState&)
{
    this->leaderSince = now;
    this->balancedAt = now;
    this->contacts.clear();
    this->omissions.clear();
    this->loads.clear();
    this->entries.clear();
}

std::optional<Command> KeyCoordinator::registration(const KeyHeartbeat& heartbeat, const RegistryState& state) const
{
    const auto& announcement = heartbeat.announcement;
    const auto* known = state.findUpstream(announcement.key.name);
    if (known == nullptr || known->announcement.key != announcement.key || known->state == UpstreamState::Dead) {
        return announcement;
    }
    if (known->state == UpstreamState::Gone || known->announcement == announcement) {
        return std::nullopt;
    }
    const auto* heard = this->contact(announcement.key);
    const bool isOvertaken = heard != nullptr && heartbeat.sequence <= heard->sequence;
    const bool wouldReturn = known->state == UpstreamState::Draining && !announcement.isDraining;
    return isOvertaken || wouldReturn ? std::nullopt : std::optional<Command> { announcement };
}

const KeyCoordinator::Contact* KeyCoordinator::contact(const UpstreamKey& key) const
{
    const auto found = this->contacts.find(key.name);
    return found == this->contacts.end() || found->second.key != key ? nullptr : &found->second;
}

bool KeyCoordinator::note(Instant now, const KeyHeartbeat& heartbeat)
{
    auto& contact = this->contacts[heartbeat.announcement.key.name];
    if (contact.key != heartbeat.announcement.key) {
        contact = Contact { heartbeat.announcement.key, 0, now, now, {}, std::nullopt };
    } else if (heartbeat.sequence <= contact.sequence) {
        return false;
    } else {
        const auto interval = std::min<Duration>(now - contact.heardAt, std::chrono::seconds { 1 });
        // A heartbeat soon after the last one answers an omission; the regular one keeps its time.
        if (interval > std::chrono::milliseconds { 300 }) {
            contact.nextExpected = now + interval;
        }
    }
    contact.sequence = heartbeat.sequence;
    contact.heardAt = now;
    return true;
}

void KeyCoordinator::takeReleases(Instant now, const KeyHeartbeat& heartbeat, const RegistryState& state)
{
    const auto& announcement = heartbeat.announcement;
    for (auto& omission : this->omissions) {
        if (omission.owner != announcement.key || omission.assignAt || heartbeat.sequence <= omission.sequence) {
            continue;
        }
        const auto* range = state.findRange(announcement.service, omission.first);
        if (range == nullptr || range->fence != omission.fence || isListed(heartbeat.held, omission.first, omission.last)) {
            continue;
        }
        omission.handover = handoverOf(heartbeat.released, omission.first, omission.last);
        omission.assignAt = now + std::max<Duration>(this->timeToReach(now, range->target) - this->timing.assignLead, Duration::zero());
    }
}

std::vector<Command> KeyCoordinator::assignReleased(Instant now, const RegistryState& state)
{
    absl::btree_map<std::string, AssignKeyRanges> assignments;
    // An omission stands until its assignment is applied: an answer before that must not grant the keys again.
    std::erase_if(this->omissions, [&](const Omission& omission) {
        const auto* range = state.findRange(omission.service, omission.first);
        if (range == nullptr || range->owner != omission.owner || range->fence != omission.fence || !range->isMoving()) {
            return true;
        }
        if (omission.assignAt && now >= *omission.assignAt) {
            auto& assignment = assignments[omission.service];
            assignment.service = omission.service;
            // A later move may have been joined to the range; its keys were not released.
            assignment.grants.push_back({ omission.first, std::min(range->last, omission.last), range->target, omission.handover, this->timeToReach(now, range->target) });
        }
        return false;
    });
    std::vector<Command> commands;
    for (auto& [service, assignment] : assignments) {
        commands.push_back(std::move(assignment));
    }
    return commands;
}

bool KeyCoordinator::isOmitted(const KeyRange& range) const
{
    return std::ranges::any_of(this->omissions, [&range](const Omission& omission) { return omission.owner == range.owner && omission.fence == range.fence && omission.first == range.first; });
}

bool KeyCoordinator::isOmissionDue(const KeyRange& range, const RegistryState& state) const
{
    const auto* owner = state.findUpstream(range.owner.name);
    // An upstream that leaves has little time; where nobody can take its keys yet they wait for the next owner.
    const bool isLeaving = owner == nullptr || !owner->isUsable();
    return isLeaving || this->isOmitted(range) || this->contact(range.target) != nullptr;
}

Duration KeyCoordinator::timeToReach(Instant now, const UpstreamKey& key) const
{
    const auto* heard = this->contact(key);
    if (heard == nullptr || heard->reachableUntil >= now + this->timing.assignLead) {
        return Duration::zero();
    }
    return std::max<Duration>(heard->nextExpected - now, Duration::zero());
}

void KeyCoordinator::omit(std::string_view service, const KeyRange& range, std::uint64_t sequence)
{
    if (!this->isOmitted(range)) {
        this->omissions.push_back({ std::string { service }, range.owner, range.first, range.last, range.fence, sequence, std::nullopt, {} });
    }
}

bool KeyCoordinator::hasNews(const KeyHeartbeat& heartbeat, const RegistryState& state) const
{
    const auto& announcement = heartbeat.announcement;
    std::uint32_t granted = 0;
    for (const auto& range : state.keyRanges(announcement.service)) {
        if (range.owner != announcement.key || (range.isMoving() && this->isOmitted(range))) {
            continue;
        }
        if (range.isMoving() || heldOf(heartbeat.held, range) != keyCount(range)) {
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

void KeyCoordinator::answerHeld(const UpstreamKey& key, Instant until)
{
    this->contacts[key.name].reachableUntil = until;
}

KeyHeartbeatReply KeyCoordinator::answer(const KeyHeartbeat& heartbeat, const RegistryState& state)
{
    const auto& announcement = heartbeat.announcement;
    const auto* service = state.findService(announcement.service);
    if (service == nullptr || !service->isSharded || !state.isAlive(announcement.key)) {
        return {};
    }
    KeyHeartbeatReply answer { true, {}, this->timing.lease };
    for (const auto& range : state.keyRanges(announcement.service)) {
        if (range.owner != announcement.key) {
            continue;
        }
        if (range.isMoving() && this->isOmissionDue(range, state)) {
            this->omit(announcement.service, range, heartbeat.sequence);
            continue;
        }
        answer.grants.push_back(range);
    }
    // The upstream counts from when it sent the heartbeat.
    auto& contact = this->contacts[announcement.key.name];
    contact.leaseEnd = contact.heardAt + this->timing.lease + this->timing.lease / this->timing.driftDivisor;
    contact.reachableUntil = {};
    return answer;
}

void KeyCoordinator::addLoad(Instant now, const KeyLoadReport& report, const RegistryState& state)
{
    this->entries[report.entry] = now;
    for (const auto& service : report.services) {
        this->loads[service.service].add(service.loads);
        this->countAnswers(now, service, state);
    }
}

void KeyCoordinator::countAnswers(Instant now, const ServiceKeyLoad& load, const RegistryState& state)
{
    for (const auto& keys : load.loads) {
        const auto* range = keys.answered == 0 ? nullptr : state.findRange(load.service, keys.first);
        if (range == nullptr || !range->isOwned()) {
            continue;
        }
        auto& sum = this->answers.try_emplace(range->owner, Answers { now, 0, 0 }).first->second;
        sum.count += keys.answered;
        sum.busyMs += keys.busyMs;
    }
}

void KeyCoordinator::learnServiceTimes(Instant now, const RegistryState& state)
{
    absl::erase_if(this->answers, [&](const auto& item) {
        const auto& [key, sum] = item;
        const auto* upstream = state.findUpstream(key.name);
        if (upstream == nullptr || upstream->announcement.key != key) {
            this->serviceTimes.erase(key);
            return true;
        }
        if (sum.count < minimumAnswers) {
            return false;
        }
        // Both are at least the service time: the latency equals it where nothing waits, the time of the slots for each
        // answer where the upstream is never idle.
        const auto elapsedMs = std::chrono::duration<double, std::milli> { now - sum.since }.count();
        const auto bound = std::min(sum.busyMs / sum.count, elapsedMs * std::max(1U, upstream->announcement.requestSlots) / sum.count);
        auto& known = this->serviceTimes.try_emplace(key, bound).first->second;
        known += (bound - known) * serviceTimeWeight;
        return true;
    });
}

std::uint32_t KeyCoordinator::entryCount(Instant now) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(this->entries, [now](const auto& entry) { return now - entry.second < entryMemory; }));
}

bool KeyCoordinator::isLeasePossible(Instant now, const UpstreamKey& key, const RegistryState& state) const
{
    const auto* registered = state.findUpstream(key.name);
    if (registered != nullptr && registered->announcement.key.incarnation > key.incarnation) {
        // A later start of the process shows that this one is over.
        return false;
    }
    const auto formerTerm = this->leaderSince + this->timing.lease + this->timing.lease / this->timing.driftDivisor;
    const auto* heard = this->contact(key);
    const auto end = heard != nullptr && heard->leaseEnd ? std::max(*heard->leaseEnd, formerTerm) : formerTerm;
    return now < end;
}

bool KeyCoordinator::isFree(Instant now, const KeyRange& range, const RegistryState& state) const
{
    return !range.isOwned() || (!state.isAlive(range.owner) && !this->isLeasePossible(now, range.owner, state));
}

void KeyCoordinator::findSilent(Instant now, const RegistryState& state, std::vector<Command>& commands) const
{
    for (const auto& [name, upstream] : state.upstreams()) {
        const auto& key = upstream.announcement.key;
        if (!state.isAlive(key)) {
            continue;
        }
        const auto* heard = this->contact(key);
        const auto heardAt = heard == nullptr ? this->leaderSince : std::max(heard->heardAt, this->leaderSince);
        if (now - heardAt > this->timing.lease + this->timing.lease / this->timing.driftDivisor) {
            commands.push_back(RemoveUpstream { key, false });
        }
    }
}

std::vector<KeyHolder> KeyCoordinator::holders(std::string_view service, const RegistryState& state) const
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
        const auto known = this->serviceTimes.find(announcement.key);
        const auto speed = known == this->serviceTimes.end() || known->second <= 0 ? 1.0 : std::clamp(*middle / known->second, lowestSpeed, highestSpeed);
        const auto slots = std::max(1U, announcement.requestSlots);
        const auto time = known == this->serviceTimes.end() ? 0.0 : std::max(1.0, known->second);
        const auto mostLoad = time == 0 ? 0.0 : slots * std::chrono::duration<double, std::milli> { KeyLoadTable::fadeTime }.count() / time;
        result.push_back({ announcement.key, slots * speed, mostLoad, upstream.isUsable() });
    }
    return result;
}

void KeyCoordinator::place(Instant now, std::string_view service, const RegistryState& state, std::vector<Command>& commands)
{
    const auto available = this->holders(service, state);
    if (available.empty()) {
        return;
    }
    const auto announcedAt = this->firstAnnounced.emplace(std::string { service }, now).first->second;
    const auto known = state.keyRanges(service);
    if (known.empty() && now - announcedAt < this->timing.settleTime) {
        return;
    }
    static const std::vector<KeyRange> unowned { KeyRange { 0, keyNumberCount - 1, {}, {}, {}, {} } };
    const auto ranges = known.empty() ? std::span<const KeyRange> { unowned } : known;
    const auto found = this->loads.find(service);
    const auto weights = found == this->loads.end() ? std::span<const float> {} : found->second.weights();
    auto grants = placeFreeKeys(
        ranges, [&](const KeyRange& range) { return this->isFree(now, range, state); }, available, weights);
    for (auto& grant : grants) {
        grant.expectedDelay = this->timeToReach(now, grant.owner);
    }
    if (!grants.empty()) {
        commands.push_back(AssignKeyRanges { std::string { service }, std::move(grants) });
    }
}

void KeyCoordinator::balance(std::string_view service, const RegistryState& state, std::vector<Command>& commands)
{
    const auto found = this->loads.find(service);
    const auto weights = found == this->loads.end() ? std::span<const float> {} : found->second.weights();
    auto moves = planKeyMoves(state.keyRanges(service), this->holders(service, state), weights, {});
    if (!moves.empty()) {
        commands.push_back(BeginKeyMoves { std::string { service }, std::move(moves) });
    }
}

std::vector<Command> KeyCoordinator::decide(Instant now, const RegistryState& state)
{
    auto commands = this->assignReleased(now, state);
    this->findSilent(now, state, commands);
    std::vector<std::string> sharded;
    state.forEachItem([&sharded](const ConfigItem& item) {
        const auto* service = std::get_if<ServiceItem>(&item.content);
        if (service != nullptr && service->isSharded) {
            sharded.push_back(item.name);
        }
    });
    for (const auto& service : sharded) {
        this->place(now, service, state, commands);
    }
    const auto elapsed = now - this->balancedAt;
    if (commands.empty() && (elapsed >= this->timing.balanceInterval || hasLeavingOwner(sharded, state))) {
        this->balancedAt = now;
        for (auto& [service, load] : this->loads) {
            load.fade(elapsed);
        }
        this->learnServiceTimes(now, state);
        for (const auto& service : sharded) {
            this->balance(service, state, commands);
        }
    }
    return commands;
}

}
