#include "node/EntryRole.h"

#include <algorithm>
#include <string>
#include <vector>

namespace teaselturn {

namespace {

    /// Numbers names in the order of their first use. The numbers are only compared with one another, and are replaced
    /// once the accepted bundle numbers the same names.
    class NameNumbering {
    public:
        std::uint16_t numberOf(const std::string& name)
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

    EntryIdentity makeIdentity(const Settings& settings, BootId boot)
    {
        NameNumbering zones;
        NameNumbering regions;
        EntryIdentity identity { settings.node, boot, ZoneId { zones.numberOf(settings.zone) }, RegionId { regions.numberOf(settings.region) }, {} };
        for (const auto& member : settings.bootstrap.members) {
            identity.bootstrapMembers.push_back({ member.node, ZoneId { zones.numberOf(member.zone) }, RegionId { regions.numberOf(member.region) } });
        }
        return identity;
    }

}

EntryRole::EntryRole(const Settings& settings, BootId boot, PeerTransport& transport, BundleCheck check, const SteadyClock& clock, Logger& logger, MetricsRegistry& metrics, Node::BundlesChanged bundlesChanged)
    : node(transport, makeIdentity(settings, boot), { settings.zone, settings.region }, std::move(check), clock, routes, &logger, std::move(bundlesChanged))
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

bool EntryRole::drain(Duration timeout)
{
    return !this->server || this->server->drain(timeout);
}

void EntryRole::endRequests()
{
    // In this order, a request whose attempt has ended finds that no other attempt may be made.
    this->handler.refuseRequests();
    this->connections.endAttempts();
    static_cast<void>(this->server->drain(deliveryTime));
}

void EntryRole::reportLoad()
{
    this->node.reportLoad([this] { return this->recorder.drainLoad(); });
}

void EntryRole::cleanUp(Instant now)
{
    this->connections.closeUnused(now);
    this->limiters.removeUnused(now);
}

}
