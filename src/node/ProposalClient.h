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

/// Proposes commands from a process without the entry role, which hears of the leader from its own ledger member. A
/// caller waits until its command is applied or given up. Its mutex is a leaf of the lock order.
/// @tparam Sender Sends messages to other processes and to this one.
template <PeerSender Sender, Clock ClockType>
class ProposalClient {
public:
    /// @param boot Start of this process: sequences begin there, so that the leader does not take a proposal for one of
    /// an earlier start.
    ProposalClient(Sender& sender, const ClockType& clock, BootId boot)
        : sender(sender)
        , clock(clock)
        , lastSequence(boot.value)
    {
    }

    /// @param leader Called for each send; returns the leader or zero.
    /// @return The command's result, or NoQuorum.
    template <typename Leader>
    Result<ApplyOutcome> propose(const Command& command, Leader&& leader)
    {
        const auto giveUpAt = this->clock.now() + timing::proposalTimeout;
        const auto sequence = this->begin();
        std::optional<ApplyOutcome> outcome;
        for (auto now = this->clock.now(); !outcome && now < giveUpAt; now = this->clock.now()) {
            if (const NodeId to = leader(); to != NodeId {}) {
                this->sender.send(to, ProposeRequest { sequence, command });
            }
            outcome = this->waitFor(sequence, now + timing::proposalResendInterval);
        }
        const MutexLock lock { this->mutex };
        this->answers.erase(sequence);
        return outcome ? Result<ApplyOutcome> { std::move(*outcome) } : Result<ApplyOutcome> { ResultCode::NoQuorum };
    }

    /// Processes a reply. A refusal is ignored: the next resend looks up the leader again.
    void receive(const ProposeReply& reply)
    {
        if (reply.code != ResultCode::Ok) {
            return;
        }
        const MutexLock lock { this->mutex };
        if (const auto found = this->answers.find(reply.sequence); found != this->answers.end()) {
            found->second = reply.outcome;
            this->changed.notifyAll();
        }
    }

private:
    std::uint64_t begin()
    {
        const MutexLock lock { this->mutex };
        this->answers.emplace(++this->lastSequence, std::nullopt);
        return this->lastSequence;
    }

    std::optional<ApplyOutcome> waitFor(std::uint64_t sequence, Instant until)
    {
        const MutexLock lock { this->mutex };
        for (auto now = this->clock.now(); !this->answers.at(sequence) && now < until; now = this->clock.now()) {
            this->changed.waitFor(this->mutex, until - now);
        }
        return this->answers.at(sequence);
    }

    Sender& sender;
    const ClockType& clock;
    Mutex mutex;
    ConditionVariable changed;
    std::uint64_t lastSequence ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<std::uint64_t, std::optional<ApplyOutcome>> answers ABSL_GUARDED_BY(mutex);
};

}
