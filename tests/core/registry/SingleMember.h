#pragma once

#include "adapters/codec/RegistryCodec.h"
#include "core/registry/RegistryFixture.h"
#include "core/registry/RegistryService.h"
#include "core/support/SeededRandom.h"

#include <algorithm>

namespace teaselturn::support {

/// A registry with a single member. The test reports its writes as persisted.
struct SingleMember {
    Instant now { std::chrono::seconds { 50 } };
    RegistryService<SeededRandom, BinaryRegistryCodec> service;
    std::vector<ControlResponse> responses;
    std::vector<OutboundMessage> sent;
    bool isDiskWritable { true };

    explicit SingleMember(std::vector<MemberSpec> members = { { NodeId { 1 }, DiskId { 1 }, true } })
        : service(state(std::move(members)), { NodeId { 1 }, NodeId { 2 } }, SeededRandom { 7 }, {}, now)
    {
    }

    static MemberState state(std::vector<MemberSpec> members)
    {
        MemberState result;
        result.node = NodeId { 1 };
        result.disk = DiskId { 1 };
        result.initialMembers = std::move(members);
        return result;
    }

    void drive()
    {
        for (int i = 0; i < 4; ++i) {
            auto effects = this->service.takeEffects(this->now);
            this->responses.insert(this->responses.end(), effects.responses.begin(), effects.responses.end());
            this->sent.insert(this->sent.end(), effects.immediate.begin(), effects.immediate.end());
            if (effects.storage.needsWrite() && this->isDiskWritable) {
                this->service.persisted(this->now);
            }
            this->sent.insert(this->sent.end(), effects.afterPersist.begin(), effects.afterPersist.end());
        }
    }

    void advance(std::chrono::milliseconds time)
    {
        for (auto end = this->now + time; this->now < end;) {
            this->now += std::chrono::milliseconds { 25 };
            this->service.tick(this->now);
            this->drive();
        }
    }

    template <typename Result>
    const Result* responseTo(std::uint64_t requestId) const
    {
        const auto found = std::ranges::find(this->responses, ControlRequestId { requestId }, &ControlResponse::requestId);
        return found == this->responses.end() ? nullptr : std::get_if<Result>(&found->result);
    }
};

inline ChangeItems initialItems() { return { { serviceItem("k", true), routeItem("r", "k") }, {} }; }

}
