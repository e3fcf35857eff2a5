#pragma once

#include "core/dispatch/Dispatcher.h"
#include "core/registry/RegistryFixture.h"

#include <catch2/catch.hpp>
#include <map>

namespace teaselturn::support {

/// A dispatcher with a registry state and a clock that the test advances.
struct DispatchFixture {
    RegistryState state;
    Dispatcher dispatcher;
    Instant now { std::chrono::seconds { 1'000 } };
    DispatchDecisions decisions;
    std::uint64_t lastId {};

    explicit DispatchFixture(DispatchOptions options = { "z1", {}, 1, 200, 100, std::chrono::milliseconds { 10'000 } })
        : dispatcher(std::move(options))
    {
        this->apply(ChangeItems { { serviceItem("plain", false), serviceItem("keys", true) }, {} });
    }

    void apply(const Command& command) { REQUIRE(applyNext(this->state, command) == ResultCode::Ok); }

    RegisterUpstream registerUpstream(const std::string& name, const std::string& service)
    {
        auto upstream = announcement(name, service);
        this->apply(upstream);
        return upstream;
    }

    void sync() { this->dispatcher.sync(this->now, this->state, this->decisions); }

    static std::shared_ptr<const CompiledRoute> route(const std::string& service, RequestKind kind, std::chrono::milliseconds target = std::chrono::milliseconds { 300 })
    {
        auto item = std::get<RouteItem>(routeItem("r", service, 1, kind).content);
        item.targetLatency = target;
        return std::make_shared<const CompiledRoute>(CompiledRoute { "r", 1, item });
    }

    PendingRequestId submit(const std::shared_ptr<const CompiledRoute>& toRoute, std::optional<KeyNumber> key = std::nullopt, std::chrono::milliseconds deadline = std::chrono::milliseconds { 1'000 })
    {
        const PendingRequestId id { ++this->lastId };
        this->dispatcher.submit(this->now, { id, toRoute, key, this->now, this->now + deadline }, this->decisions);
        return id;
    }

    void endAttempt(PendingRequestId id, AttemptOutcome outcome) { this->dispatcher.attemptEnded(this->now, id, outcome, this->decisions); }

    /// @return The decisions of one type since the last call of clearDecisions().
    template <typename Decision>
    std::vector<Decision> decisionsOf() const
    {
        std::vector<Decision> found;
        for (const auto& decision : this->decisions) {
            if (const auto* item = std::get_if<Decision>(&decision)) {
                found.push_back(*item);
            }
        }
        return found;
    }

    void clearDecisions() { this->decisions.clear(); }
};

}
