#pragma once

#include "core/dispatch/Dispatcher.h"
#include "core/registry/KeyRanges.h"
#include "load-model/ModelRandom.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <concepts>
#include <span>
#include <vector>

/// Baseline load-balancing policies that the Dispatcher is compared with.
namespace teaselturn::model {

/// The interface through which a simulation drives the dispatch decisions of an entry VM. Dispatcher models it.
template <typename T>
concept DispatchPolicy = requires(T& policy, Instant now, const RegistryState& state, DispatchRequest request, PendingRequestId id, AttemptOutcome outcome, DispatchDecisions& decisions)
{
    policy.sync(now, state, decisions);
    policy.setEntryCount(1U);
    policy.submit(now, request, decisions);
    policy.responseReceived(id, std::size_t {});
    policy.noticeReceived(now, id, UpstreamNotice {}, decisions);
    policy.attemptEnded(now, id, outcome, decisions);
    policy.advance(now, decisions);
    {
        policy.nextDeadline()
        } -> std::same_as<std::optional<Instant>>;
    {
        policy.takeKeyLoads(std::size_t {})
        } -> std::same_as<std::vector<ServiceKeyLoad>>;
};

/// A usable upstream with its outstanding requests from one entry VM.
struct Candidate {
    UpstreamKey key;
    Endpoint endpoint;
    std::uint32_t outstanding {};
};

struct RoundRobin {
    std::size_t next {};

    std::size_t choose(std::span<const Candidate> candidates, ModelRandom&) { return this->next++ % candidates.size(); }
};

struct LeastOutstanding {
    std::size_t choose(std::span<const Candidate> candidates, ModelRandom&)
    {
        return static_cast<std::size_t>(std::ranges::min_element(candidates, {}, &Candidate::outstanding) - candidates.begin());
    }
};

/// Chooses the one with fewer outstanding requests of two candidates drawn at random.
struct TwoChoices {
    std::size_t choose(std::span<const Candidate> candidates, ModelRandom& random)
    {
        const auto first = random.below(candidates.size());
        const auto second = random.below(candidates.size());
        return candidates[second].outstanding < candidates[first].outstanding ? second : first;
    }
};

/// Sends each request immediately to the owner of its key or to the chosen upstream. It neither queues nor retries:
/// a refusal by the upstream goes to the caller.
/// @tparam Choice Chooses among the upstreams of a service that is not sharded.
template <typename Choice>
class DirectPolicy {
public:
    explicit DirectPolicy(const DispatchOptions& options)
        : random(options.preferenceSeed)
    {
    }

    void setEntryCount(std::uint32_t) noexcept { }
    void responseReceived(PendingRequestId, std::size_t) noexcept { }
    void noticeReceived(Instant, PendingRequestId, const UpstreamNotice&, DispatchDecisions&) noexcept { }

    void sync(Instant, const RegistryState& state, DispatchDecisions&)
    {
        std::vector<Candidate> usableCandidates;
        for (const auto& [name, upstream] : state.upstreams()) {
            if (upstream.isUsable()) {
                const auto known = std::ranges::find(this->candidates, upstream.announcement.key, &Candidate::key);
                usableCandidates.push_back({ upstream.announcement.key, upstream.announcement.endpoint, known == this->candidates.end() ? 0 : known->outstanding });
            }
        }
        this->candidates = std::move(usableCandidates);
        this->ranges.clear();
        for (const auto& upstream : state.upstreams()) {
            const auto known = state.keyRanges(upstream.second.announcement.service);
            this->ranges.assign(known.begin(), known.end());
        }
    }

    void submit(Instant now, const DispatchRequest& request, DispatchDecisions& decisions)
    {
        this->service = request.route->item.shares.front().service;
        auto* target = this->chooseTarget(request);
        if (target == nullptr) {
            decisions.push_back(RefuseRequest { request.id, ResultCode::RequestNoOwner, retryAfter });
            return;
        }
        ++target->outstanding;
        if (request.key) {
            ++this->requestCounts[*request.key];
        }
        this->pendingRequests.emplace(request.id, PendingRequest { target->key, request.deadline });
        this->deadlines.emplace(request.deadline, request.id);
        decisions.push_back(SendRequest { request.id, target->key, target->endpoint, request.deadline - now });
    }

    void attemptEnded(Instant, PendingRequestId id, AttemptOutcome outcome, DispatchDecisions& decisions)
    {
        if (!this->removePending(id)) {
            return;
        }
        switch (outcome) {
        case AttemptOutcome::Answered:
        case AttemptOutcome::Failed:
            decisions.push_back(DeliverResponse { id });
            break;
        case AttemptOutcome::Ambiguous:
        case AttemptOutcome::Lost:
            decisions.push_back(FailRequest { id, ResultCode::RequestOutcomeUnknown });
            break;
        case AttemptOutcome::Overloaded:
        case AttemptOutcome::Misdirected:
        case AttemptOutcome::NotSent:
            decisions.push_back(RefuseRequest { id, ResultCode::RequestRefusedByUpstream, retryAfter });
            break;
        }
    }

    void advance(Instant now, DispatchDecisions& decisions)
    {
        while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
            const auto id = this->deadlines.begin()->second;
            this->deadlines.erase(this->deadlines.begin());
            if (this->removePending(id)) {
                decisions.push_back(CancelAttempt { id });
                decisions.push_back(FailRequest { id, ResultCode::RequestDeadlineExceeded });
            }
        }
    }

    std::optional<Instant> nextDeadline() const { return this->deadlines.empty() ? std::nullopt : std::optional { this->deadlines.begin()->first }; }

    std::vector<ServiceKeyLoad> takeKeyLoads(std::size_t)
    {
        ServiceKeyLoad load { this->service, {} };
        for (const auto& [key, count] : std::exchange(this->requestCounts, {})) {
            load.loads.push_back({ key, key, count, 0, 0 });
        }
        return { load };
    }

private:
    /// Time after which a refused caller may retry.
    static constexpr std::chrono::milliseconds retryAfter { 250 };

    struct PendingRequest {
        UpstreamKey sentTo;
        Instant deadline;
    };

    Candidate* chooseTarget(const DispatchRequest& request)
    {
        if (!this->ranges.empty() && request.key) {
            const auto* range = findKeyRange(this->ranges, *request.key);
            const auto found = std::ranges::find(this->candidates, range == nullptr ? UpstreamKey {} : range->owner, &Candidate::key);
            return found == this->candidates.end() ? nullptr : &*found;
        }
        return this->candidates.empty() ? nullptr : &this->candidates[this->choice.choose(this->candidates, this->random)];
    }

    bool removePending(PendingRequestId id)
    {
        const auto found = this->pendingRequests.find(id);
        if (found == this->pendingRequests.end()) {
            return false;
        }
        const auto target = std::ranges::find(this->candidates, found->second.sentTo, &Candidate::key);
        if (target != this->candidates.end()) {
            --target->outstanding;
        }
        this->deadlines.erase({ found->second.deadline, id });
        this->pendingRequests.erase(found);
        return true;
    }

    ModelRandom random;
    Choice choice;
    std::string service;
    std::vector<Candidate> candidates;
    std::vector<KeyRange> ranges;
    absl::flat_hash_map<PendingRequestId, PendingRequest> pendingRequests;
    absl::btree_set<std::pair<Instant, PendingRequestId>> deadlines;
    absl::btree_map<KeyNumber, std::uint32_t> requestCounts;
};

static_assert(DispatchPolicy<Dispatcher>);
static_assert(DispatchPolicy<DirectPolicy<RoundRobin>>);

}
