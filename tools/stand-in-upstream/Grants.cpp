#include "Grants.h"

#include "adapters/clock/SteadyClock.h"

#include <algorithm>

using teaselturn::HeartbeatMessage;
using teaselturn::HeartbeatReplyMessage;
using teaselturn::Instant;
using teaselturn::MutexLock;
using teaselturn::SteadyClock;

Grants::Grants(const Options& options, Record& record)
    : options(options)
    , record(record)
{
}

HeartbeatMessage Grants::makeHeartbeat(std::uint64_t incarnation, std::uint16_t port, bool isLeaving)
{
    const MutexLock lock { this->mutex };
    HeartbeatMessage message;
    message.name = this->options.name;
    this->incarnation = incarnation;
    message.incarnation = incarnation;
    message.sequence = ++this->sequence;
    message.session = this->session;
    message.service = this->options.service;
    message.zone = this->options.zone;
    message.endpoint = { this->options.listen.address, port };
    message.requestSlots = this->options.requestSlots;
    message.connectionLimit = this->options.connectionLimit;
    message.checksGrants = this->options.checksGrants;
    message.isLeaving = isLeaving;
    message.grantsVersion = this->grantsVersion;
    for (auto& [slot, grant] : this->grants) {
        if (grant.isReleasing && grant.inFlight == 0) {
            // The next owner may get the slot as soon as this message arrives.
            this->closeInterval(slot, grant, std::min(SteadyClock {}.now(), this->leaseEnd));
            message.released.push_back({ slot, grant.fence });
        }
    }
    return message;
}

void Grants::closeInterval(std::uint32_t slot, Grant& grant, Instant end)
{
    if (grant.isOwned) {
        grant.isOwned = false;
        this->record.writeOwnership(grant.ownedSince, std::max(grant.ownedSince, end), slot, grant.fence);
    }
}

void Grants::replaceGrants(const HeartbeatReplyMessage& reply, Instant now)
{
    std::map<std::uint32_t, Grant> next;
    for (const auto& wanted : reply.grants) {
        const auto found = this->grants.find(wanted.slot);
        if (found != this->grants.end() && found->second.fence == wanted.fence) {
            next.insert(this->grants.extract(found));
            next.at(wanted.slot).isReleasing = false;
        } else {
            next[wanted.slot].fence = wanted.fence;
        }
    }
    for (auto& [slot, grant] : this->grants) {
        const bool isReleaseWanted = std::any_of(reply.releaseWanted.begin(), reply.releaseWanted.end(),
            [slot = slot, fence = grant.fence](
                const auto& wanted) { return wanted.slot == slot && wanted.fence == fence; });
        if ((isReleaseWanted || grant.inFlight > 0) && next.count(slot) == 0) {
            grant.isReleasing = true;
            next[slot] = grant;
        } else {
            this->closeInterval(slot, grant, std::min(now, this->leaseEnd));
        }
    }
    this->grants = std::move(next);
    this->grantsVersion = reply.grantsVersion;
}

void Grants::markForRelease(const HeartbeatReplyMessage& reply)
{
    for (const auto& wanted : reply.releaseWanted) {
        // The lease manager may want a slot back whose grant never arrived. It waits for the release nevertheless.
        auto& grant = this->grants[wanted.slot];
        if (grant.fence != wanted.fence) {
            this->closeInterval(wanted.slot, grant, std::min(SteadyClock {}.now(), this->leaseEnd));
            grant.fence = wanted.fence;
            // Requests running under the previous fence are refused when they would take effect.
            grant.inFlight = 0;
        }
        grant.isReleasing = true;
    }
    // Remove a slot only after the lease manager stops requesting its release, that is, has learned of the release.
    for (auto entry = this->grants.begin(); entry != this->grants.end();) {
        auto& [slot, grant] = *entry;
        const bool isReleaseWanted = std::any_of(reply.releaseWanted.begin(), reply.releaseWanted.end(),
            [slot = slot](const auto& wanted) { return wanted.slot == slot; });
        if (grant.isReleasing && grant.inFlight == 0 && !isReleaseWanted) {
            this->closeInterval(slot, grant, std::min(SteadyClock {}.now(), this->leaseEnd));
            entry = this->grants.erase(entry);
        } else {
            ++entry;
        }
    }
}

void Grants::handleReply(Instant sentAt, const HeartbeatReplyMessage& reply)
{
    const MutexLock lock { this->mutex };
    const auto now = SteadyClock {}.now();
    const auto isLatest = reply.incarnation == this->incarnation && reply.sequence == this->sequence;
    if (!isLatest || reply.session < this->session) {
        return;
    }
    this->session = reply.session;
    if (reply.grantsIncluded) {
        this->replaceGrants(reply, now);
    }
    this->markForRelease(reply);
    if (reply.leaseMilliseconds == 0) {
        return;
    }
    // The lease starts before the heartbeat is sent, so that it ends no later than at the lease manager, which counts
    // from after its reply.
    const auto newEnd = sentAt + std::chrono::milliseconds { reply.leaseMilliseconds };
    const bool hadExpired = now >= this->leaseEnd;
    for (auto& [slot, grant] : this->grants) {
        if (hadExpired) {
            this->closeInterval(slot, grant, this->leaseEnd);
        }
        if (!grant.isOwned && !grant.isReleasing && now < newEnd) {
            grant.isOwned = true;
            grant.ownedSince = now;
        }
        if (grant.isReleasing && grant.inFlight == 0) {
            this->closeInterval(slot, grant, now);
        }
    }
    this->leaseEnd = std::max(this->leaseEnd, newEnd);
}

void Grants::closeIntervals(Instant now)
{
    const MutexLock lock { this->mutex };
    for (auto& [slot, grant] : this->grants) {
        if (now >= this->leaseEnd) {
            this->closeInterval(slot, grant, this->leaseEnd);
        } else if (grant.isReleasing && grant.inFlight == 0) {
            this->closeInterval(slot, grant, now);
        }
    }
}

bool Grants::isHeld(std::uint32_t slot, std::uint64_t fence, Instant now)
{
    const auto found = this->grants.find(slot);
    return found != this->grants.end() && found->second.fence == fence && now < this->leaseEnd;
}

AdmissionResult Grants::admit(std::uint32_t slot, std::uint64_t fence, Instant deadline)
{
    const MutexLock lock { this->mutex };
    if (this->running >= this->options.requestSlots && this->queued >= this->options.queueLimit) {
        return AdmissionResult::RefusedByLoad;
    }
    ++this->queued;
    while (this->running >= this->options.requestSlots) {
        const auto now = SteadyClock {}.now();
        if (now >= deadline) {
            --this->queued;
            return AdmissionResult::RefusedByLoad;
        }
        this->slotFreed.waitFor(this->mutex, deadline - now);
    }
    --this->queued;
    if (this->options.checksGrants
        && (!this->isHeld(slot, fence, SteadyClock {}.now()) || this->grants.at(slot).isReleasing)) {
        this->slotFreed.notifyOne();
        return AdmissionResult::RefusedByFence;
    }
    ++this->running;
    if (const auto found = this->grants.find(slot); found != this->grants.end() && found->second.fence == fence) {
        ++found->second.inFlight;
    }
    return AdmissionResult::Admitted;
}

bool Grants::takeEffect(
    std::uint32_t slot, std::uint64_t fence, std::string_view requestId, bool isIdempotent, std::string_view key)
{
    const MutexLock lock { this->mutex };
    const auto now = SteadyClock {}.now();
    if (this->options.checksGrants && !this->isHeld(slot, fence, now)) {
        return false;
    }
    this->record.writeRun(now, requestId, slot, fence, isIdempotent, key);
    return true;
}

void Grants::finish(std::uint32_t slot, std::uint64_t fence)
{
    const MutexLock lock { this->mutex };
    --this->running;
    if (const auto found = this->grants.find(slot);
        found != this->grants.end() && found->second.fence == fence && found->second.inFlight > 0) {
        --found->second.inFlight;
    }
    this->slotFreed.notifyOne();
}

bool Grants::holdsNoSlots(Instant now)
{
    const MutexLock lock { this->mutex };
    return this->grants.empty() || (now >= this->leaseEnd && this->running == 0);
}
