#include "node/EntryRole.h"

#include <algorithm>
#include <string>
#include <vector>

namespace teaselturn {

namespace {

    /// Numbers names by their first appearance. They serve until the accepted bundle numbers the same names, and are
    /// compared with one another only.
    class NameNumbers {
    public:
        std::uint16_t of(const std::string& name)
        {
            const auto found = std::ranges::find(this->names, name);
            const auto index = found - this->names.begin();
            if (found == this->names.end()) {
                this->names.push_back(name);
            }
            return static_cast<std::uint16_t>(index + 1);
        }

    private:
        std::vector<std::string> names;
    };

    EntryIdentity identify(const Settings& settings, BootId boot)
    {
        NameNumbers zones;
        NameNumbers regions;
        EntryIdentity identity { settings.node, boot, ZoneId { zones.of(settings.zone) }, RegionId { regions.of(settings.region) }, {} };
        for (const auto& member : settings.bootstrap.members) {
            identity.bootstrapMembers.push_back({ member.node, ZoneId { zones.of(member.zone) }, RegionId { regions.of(member.region) } });
        }
        return identity;
    }

}

EntryRole::EntryRole(const Settings& settings, BootId boot, PeerTransport& transport, BundleCheck check, const SteadyClock& clock, Logger& logger, MetricsRegistry& metrics, Node::BundlesChanged bundlesChanged)
    : node(transport, identify(settings, boot), { settings.zone, settings.region }, std::move(check), clock, routes, &logger, std::move(bundlesChanged))
    , limiters(clock)
    , recorder(routes, metrics, logger)
    , handler(routes, connections, clock, limiters, outcomes, recorder)
{
}

Status EntryRole::listen(const HttpSettings& http)
{
    HttpServerSettings serverSettings;
    serverSettings.listen = http.listen;
    serverSettings.maxConnections = http.maxConnections;
    if (http.tls) {
        serverSettings.certificateFile = http.tls->certificate.string();
        serverSettings.keyFile = http.tls->key.string();
    }
    this->workers = std::make_unique<WorkerPool>(http.workers, http.queue);
    auto started = HttpServer::start(serverSettings, *this->workers, [this](const HttpRequest& request) { return this->handler.handle(request); });
    if (!started) {
        return started.failure();
    }
    this->server = std::move(*started);
    return success();
}

bool EntryRole::drain(Duration longest)
{
    const bool isDone = !this->server || this->server->drain(longest);
    if (!isDone) {
        this->handler.refuse();
    }
    return isDone;
}

void EntryRole::reportLoad()
{
    this->node.reportLoad([this] { return this->recorder.drainLoad(); });
}

void EntryRole::cleanUp(Instant now)
{
    this->connections.closeUnused(now);
    this->limiters.forgetUnused(now);
}

}
