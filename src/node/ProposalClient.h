#pragma once

#include "core/Mutex.h"
#include "core/ownership/EntryService.h"
#include "teaselturn/Message.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Result.h"

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <utility>

namespace teaselturn {

/// Proposes commands from a process without the entry role, which learns the leader from its own ledger member. Blocks
/// the caller until the command is applied or abandoned. Its mutex is a leaf of the lock order.
/// @tparam Sender Sends messages to other processes and to this one.
template <PeerSender Sender, Clock ClockType>
class ProposalClient {
public:
    /// @param boot Boot id of this process. Sequence numbers start above it, so that the leader does not mistake a
    /// proposal for one of an earlier start.
    ProposalClient(Sender& sender, const ClockType& clock, BootId boot)
        : sender(sender)
        , clock(clock)
        , lastSequence(boot.value)
    {
    }

    /// @param leader Called before each send; returns the current leader, or zero if unknown.
    /// @return The command's result, or NoQuorum.
    template <typename Leader>
    Result<ApplyOutcome> propose(const Command& command, Leader&& leader)
    {
        const auto deadline = this->clock.now() + timing::proposalTimeout;
        const auto sequence = this->registerProposal();
        std::optional<ApplyOutcome> outcome;
        for (auto now = this->clock.now(); !outcome && now < deadline; now = this->clock.now()) {
            if (const NodeId to = leader(); to != NodeId {}) {
                this->sender.send(to, ProposeRequest { sequence, command });
            }
            outcome = this->waitForOutcome(sequence, now + timing::proposalResendInterval);
        }
        const MutexLock lock { this->mutex };
        this->pendingProposals.erase(sequence);
        return outcome ? Result<ApplyOutcome> { std::move(*outcome) } : Result<ApplyOutcome> { ResultCode::NoQuorum };
    }

    /// Processes a reply. A refusal is ignored: the next resend looks up the leader again.
    void receive(const ProposeReply& reply)
    {
        if (reply.code != ResultCode::Ok) {
            return;
        }
        const MutexLock lock { this->mutex };
        if (const auto found = this->pendingProposals.find(reply.sequence); found != this->pendingProposals.end()) {
            found->second = reply.outcome;
            this->changed.notifyAll();
        }
    }

private:
    std::uint64_t registerProposal()
    {
        const MutexLock lock { this->mutex };
        this->pendingProposals.emplace(++this->lastSequence, std::nullopt);
        return this->lastSequence;
    }

    std::optional<ApplyOutcome> waitForOutcome(std::uint64_t sequence, Instant until)
    {
        const MutexLock lock { this->mutex };
        for (auto now = this->clock.now(); !this->pendingProposals.at(sequence) && now < until; now = this->clock.now()) {
            this->changed.waitFor(this->mutex, until - now);
        }
        return this->pendingProposals.at(sequence);
    }

    Sender& sender;
    const ClockType& clock;
    Mutex mutex;
    ConditionVariable changed;
    std::uint64_t lastSequence ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::uint64_t, std::optional<ApplyOutcome>> pendingProposals ABSL_GUARDED_BY(mutex);
};

}
