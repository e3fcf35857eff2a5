#include "matrix/Faults.h"

#include <vector>

namespace teaselturn::matrix {

namespace {

    using namespace std::chrono_literals;

    std::vector<Fault> makeFaults()
    {
        std::vector<Fault> faults;
        faults.push_back({ "none", [](Cluster&, const Roles&) {} });
        faults.push_back({ "kill leader", [](Cluster& c, const Roles& r) { c.kill(r.leader); } });
        faults.push_back({ "kill follower", [](Cluster& c, const Roles& r) { c.kill(r.follower); } });
        faults.push_back({ "kill steward", [](Cluster& c, const Roles& r) { c.kill(r.leaseManager); } });
        faults.push_back({ "kill upstream", [](Cluster& c, const Roles& r) { c.kill(r.upstream); } });
        faults.push_back({ "torn write of leader", [](Cluster& c, const Roles& r) { c.kill(r.leader, true); } });
        faults.push_back({ "torn write of follower", [](Cluster& c, const Roles& r) { c.kill(r.follower, true); } });
        faults.push_back({ "failed write of leader", [](Cluster& c, const Roles& r) { c.fillDisk(r.leader, true); } });
        faults.push_back({ "full disk of follower", [](Cluster& c, const Roles& r) { c.fillDisk(r.follower, true); } });
        faults.push_back({ "lost disk of leader", [](Cluster& c, const Roles& r) { c.loseDisk(r.leader); } });
        faults.push_back({ "lost disk of follower", [](Cluster& c, const Roles& r) { c.loseDisk(r.follower); } });
        faults.push_back({ "freeze leader", [](Cluster& c, const Roles& r) { c.freeze(r.leader, true); } });
        faults.push_back({ "freeze steward", [](Cluster& c, const Roles& r) { c.freeze(r.leaseManager, true); } });
        faults.push_back({ "freeze upstream", [](Cluster& c, const Roles& r) { c.freeze(r.upstream, true); } });
        faults.push_back({ "long silence of leader", [](Cluster& c, const Roles& r) { c.cutProcess(r.leader, true, true); }, 25s });
        faults.push_back({ "long silence of follower", [](Cluster& c, const Roles& r) { c.cutProcess(r.follower, true, true); }, 25s });
        faults.push_back({ "leader hears nothing", [](Cluster& c, const Roles& r) { c.cutProcess(r.leader, false, true); } });
        faults.push_back({ "leader is not heard", [](Cluster& c, const Roles& r) { c.cutProcess(r.leader, true, false); } });
        faults.push_back({ "steward hears nothing", [](Cluster& c, const Roles& r) { c.cutProcess(r.leaseManager, false, true); } });
        faults.push_back({ "steward is not heard", [](Cluster& c, const Roles& r) { c.cutProcess(r.leaseManager, true, false); } });
        faults.push_back({ "upstream hears nothing", [](Cluster& c, const Roles& r) { c.cutProcess(r.upstream, false, true); } });
        faults.push_back({ "zone of upstream cut off", [](Cluster& c, const Roles& r) { c.cutZone(c.zoneOf(r.upstream), true, true); }, 8s });
        faults.push_back({ "zone of upstream not heard", [](Cluster& c, const Roles& r) { c.cutZone(c.zoneOf(r.upstream), true, false); }, 8s });
        faults.push_back({ "zone of leader cut off", [](Cluster& c, const Roles& r) { c.cutZone(c.zoneOf(r.leader), true, true); }, 8s });
        faults.push_back({ "regions cut", [](Cluster& c, const Roles&) { c.cutZone(ZoneId { 3 }, true, true); c.cutZone(ZoneId { 4 }, true, true); }, 8s });
        faults.push_back({ "delayed messages", [](Cluster& c, const Roles&) { c.network.extraDelay = 80ms; }, 8s });
        faults.push_back({ "lost messages", [](Cluster& c, const Roles&) { c.network.lossPercent = 20; }, 8s, false });
        faults.push_back({ "duplicated messages", [](Cluster& c, const Roles&) { c.network.duplicatePercent = 50; } });
        faults.push_back({ "reordered messages", [](Cluster& c, const Roles&) { c.network.isReordering = true; } });
        faults.push_back({ "crossed answers", [](Cluster& c, const Roles&) { c.network.isMisroutingReplies = true; }, 6s, false });
        faults.push_back({ "two operators race", [](Cluster& c, const Roles&) { c.submit(12, BundleVersion { 3 }, 1); c.submit(18, BundleVersion { 3 }, 2); } });
        faults.push_back({ "bundle resent", [](Cluster& c, const Roles&) { c.submit(12, BundleVersion { 3 }, 1); c.submit(19, BundleVersion { 3 }, 1); } });
        faults.push_back({ "kill leader and upstream", [](Cluster& c, const Roles& r) { c.kill(r.leader); c.kill(r.upstream); } });
        faults.push_back({ "kill steward and upstream", [](Cluster& c, const Roles& r) { c.kill(r.leaseManager); c.kill(r.upstream); } });
        faults.push_back({ "freeze leader and steward", [](Cluster& c, const Roles& r) { c.freeze(r.leader, true); c.freeze(r.leaseManager, true); } });
        faults.push_back({ "freeze steward, kill leader", [](Cluster& c, const Roles& r) { c.freeze(r.leaseManager, true); c.kill(r.leader); } });
        faults.push_back({ "freeze upstream, cut its zone", [](Cluster& c, const Roles& r) { c.freeze(r.upstream, true); c.cutZone(c.zoneOf(r.upstream), true, true); }, 8s });
        faults.push_back({ "lost disks of leader and follower", [](Cluster& c, const Roles& r) { c.loseDisk(r.leader); c.loseDisk(r.follower); } });
        return faults;
    }

}

std::span<const Fault> allFaults()
{
    static const auto faults = makeFaults();
    return faults;
}

}
