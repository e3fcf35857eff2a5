#include "node/Daemon.h"

#include "node/StatusJson.h"

/// Answers of the daemon's administration API.
namespace teaselturn {

template <typename Read>
auto Daemon::withState(Read&& read)
{
    if (this->entry) {
        return this->entry->entryNode().withState(read);
    }
    return this->ledger->withState([&](const OwnershipState& state) { return read(state, findRegion(state, this->settings.region)); });
}

HttpAnswer Daemon::answerStatus()
{
    NodeFacts facts { this->settings.node, this->boot, this->settings.zone, this->settings.region, std::nullopt, std::nullopt };
    if (this->entry) {
        facts.entry = this->entry->entryNode().view();
    }
    if (this->ledger) {
        facts.ledger = this->ledger->view();
    }
    return jsonAnswer(200, this->withState([&](const OwnershipState& state, RegionId region) { return writeStatus(facts, state, region); }));
}

HttpAnswer Daemon::answerOwners(const HttpRequest& request)
{
    const auto service = queryParameter(request.target, "service");
    const auto key = queryParameter(request.target, "key");
    if (!service || !key) {
        return errorAnswer(400, { ResultCode::RequestMalformed, "service and key are needed" });
    }
    const auto owner = this->withState([&](const OwnershipState& state, RegionId region) { return writeOwner(state, region, *service, *key); });
    return owner ? jsonAnswer(200, *owner) : errorAnswer(404, owner.failure());
}

HttpAnswer Daemon::answerReady()
{
    const auto isReady = !this->isDraining && !this->isBehind();
    return jsonAnswer(isReady ? 200 : 503, isReady ? R"({"ok":true})" : R"({"ok":false})");
}

HttpAnswer Daemon::answerHeartbeat(const HttpRequest& request)
{
    const auto heartbeat = decodeHeartbeat(request.body);
    if (!heartbeat) {
        this->logger.log(LogEvent::HeartbeatRefused, heartbeat.failure().describe());
        return errorAnswer(400, heartbeat.failure());
    }
    const auto reply = this->entry->entryNode().heartbeat(*heartbeat);
    if (reply.code != 0) {
        this->logger.log(LogEvent::HeartbeatRefused, "", { { "name", heartbeat->name }, { "code", reply.code } });
    }
    return jsonAnswer(200, encodeHeartbeatReply(reply));
}

Result<ApplyOutcome> Daemon::propose(AcceptBundle command)
{
    if (this->entry) {
        return this->entry->entryNode().propose(std::move(command));
    }
    return this->proposals->propose(std::move(command), [this] { return this->ledger->view().leader; });
}

std::optional<SignedBundle> Daemon::acceptedBundle()
{
    return this->withState([](const OwnershipState& state, RegionId) {
        const auto* accepted = state.acceptedBundle();
        return accepted == nullptr ? std::nullopt : std::optional { *accepted };
    });
}

bool Daemon::isBehind()
{
    return this->entry ? this->entry->entryNode().view().isBehind : this->ledger->view().leader == NodeId {};
}

}
