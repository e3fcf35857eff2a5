#include "platform/CallerHeaders.h"
#include "platform/ControlApi.h"
#include "platform/HeartbeatWire.h"
#include "platform/ItemsJson.h"
#include "platform/PlatformSettings.h"

#include "core/registry/RegistryFixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace teaselturn;
using namespace teaselturn::platform;
using namespace teaselturn::support;
using nlohmann::json;

namespace {

const json routeJson = json::parse(R"({"host":"h.example","path_prefix":"/p/","kind":"safe","timeout_s":1.2,"target_latency_s":0.3,
    "priority":2,"traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}],"attempts":2,"version":"0000000c"})");
const json serviceJson = json::parse(R"({"health_check_path":"/healthz","max_connections":110,"sharded":true,"warm_s":5.0,"version":"00000007"})");

std::string firstItemsRequest()
{
    return json { { "upsert", { { "routes", { { "r", routeJson } } }, { "services", { { "a", serviceJson }, { "b", serviceJson } } }, { "limits", { { "max_header_bytes", 100 }, { "idle_timeout_s", 15 }, { "version", "00000007" } } } } }, { "delete", { { "routes", json::array({ { { "name", "old" }, { "version", "00000010" } } }) } } } }.dump();
}

ReceivedRequest request(std::string method, std::string target, std::vector<HttpHeader> headers = {}, std::string body = {})
{
    return { std::move(method), std::move(target), std::move(headers), std::move(body), true };
}

ReceivedResponse response(unsigned status, std::vector<HttpHeader> headers)
{
    return { status, std::move(headers), "body", true };
}

const CallerRequestInfo info { "id-1", "h.example", std::chrono::seconds { 1 }, std::nullopt };

}

TEST_CASE("items are read with their versions, units and shares")
{
    const auto change = readItems(firstItemsRequest());
    REQUIRE(change);
    REQUIRE(change->upserts.size() == 4);
    const auto& item = change->upserts[0];
    const auto& route = std::get<RouteItem>(item.content);
    CHECK(item.version == 12);
    CHECK(route.kind == RequestKind::Idempotent);
    CHECK(route.timeout == std::chrono::milliseconds { 1'200 });
    CHECK(route.shares == std::vector<TrafficShare> { { "a", 90'000 }, { "b", 10'000 } });
    CHECK(std::get<ServiceItem>(change->upserts[1].content).isSharded);
    CHECK(std::get<CallerLimits>(change->upserts[3].content).maxHeaderBytes == 100);
    CHECK(change->deletions == std::vector<ItemDeletion> { { ItemKind::Route, "old", 16 } });
}

TEST_CASE("malformed items are rejected")
{
    CHECK(!readItems("{\"upsert\":{\"routes\":{"));
    CHECK(!readItems("[]"));
    auto bad = routeJson;
    SECTION("unknown kind") { bad["kind"] = "sometimes"; }
    SECTION("no version") { bad.erase("version"); }
    SECTION("version not hexadecimal") { bad["version"] = "xyz"; }
    SECTION("negative timeout") { bad["timeout_s"] = -1; }
    SECTION("neither service nor split") { bad.erase("traffic_split"); }
    CHECK(!readItems(json { { "upsert", { { "routes", { { "r", bad } } } } } }.dump()));
}

TEST_CASE("a change whose tables cannot be read is rejected")
{
    // It was acknowledged as an empty change, and lost.
    for (const std::string notTables : { "[]", "\"routes\"", "3", "null", R"([{"routes":{}}])" }) {
        CAPTURE(notTables);
        CHECK(!readItems(R"({"upsert":)" + notTables + "}"));
        CHECK(!readItems(R"({"delete":)" + notTables + "}"));
        CHECK(!readItems(R"({"upsert":{"routes":)" + notTables + "}}"));
        CHECK(!readItems(R"({"upsert":{"limits":)" + notTables + "}}"));
    }
    CHECK(!readItems(R"({"delete":{"routes":{"name":"r","version":"00000002"}}})"));
    CHECK(!readItems(R"({"delete":{"routes":{}}})"));
    CHECK(!readItems(R"({"delete":{"services":"a"}})"));
    CHECK(readItems(R"({"upsert":{},"delete":{"routes":[]}})"));
}

TEST_CASE("items are encoded as they were received")
{
    RegistryState state;
    REQUIRE(applyNext(state, *readItems(firstItemsRequest())) == ResultCode::Ok);
    const auto written = json::parse(writeItems(state));
    CHECK(written["routes"]["r"] == routeJson);
    CHECK(written["services"]["a"] == serviceJson);
    CHECK(written["limits"]["version"] == "00000007");
}

TEST_CASE("a heartbeat with a missing or malformed field is rejected")
{
    const std::string body = R"({"service":"a","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":2,"state":"draining","warmup_left_s":0,"sequence":4,"born":1700000000000,"holds":[[0,4095,7]],"released":[[4096,8191,"5c0e"]]})";
    const auto heartbeat = readHeartbeat("i-1", body);
    REQUIRE(heartbeat);
    CHECK(heartbeat->announcement.key == UpstreamKey { "i-1", 1'700'000'000'000 });
    CHECK(heartbeat->announcement.endpoint == Endpoint { "10.128.0.9", 8'080 });
    CHECK(heartbeat->announcement.isDraining);
    CHECK(heartbeat->held == std::vector<HeldKeys> { { 0, 4'095, Fence { 7 } } });
    CHECK(heartbeat->released == std::vector<ReleasedKeys> { { 4'096, 8'191, "5c0e" } });
    for (const auto* field : { "service", "address", "zone", "version", "slots", "state", "warmup_left_s", "sequence" }) {
        auto document = json::parse(body);
        document.erase(field);
        CHECK(!readHeartbeat("i-1", document.dump()));
        document[field] = json::array();
        CHECK(!readHeartbeat("i-1", document.dump()));
    }
    for (const auto* list : { "holds", "released" }) {
        auto document = json::parse(body);
        document.erase(list);
        CHECK(!readHeartbeat("i-1", document.dump()));
    }
    auto document = json::parse(body);
    CHECK(readHeartbeat("i-1", document.dump())->listsKeys);
    document.erase("holds");
    document.erase("released");
    CHECK(!readHeartbeat("i-1", document.dump())->listsKeys);
    document = json::parse(body);
    document["state"] = "resting";
    CHECK(!readHeartbeat("i-1", document.dump()));
    CHECK(!readHeartbeat("i-1", "\xff\xfe"));
}

TEST_CASE("only a heartbeat reply with grants renews leases")
{
    const Endpoint control { "10.0.0.4", 8'080 };
    CHECK(!json::parse(writeHeartbeatReply({}, control)).contains("holds"));
    const KeyHeartbeatReply reply { true, { { 0, 9, { "i-1", 1 }, Fence { 12 }, "token", {} } }, std::chrono::seconds { 4 } };
    const auto document = json::parse(writeHeartbeatReply(reply, control));
    CHECK(document["holds"] == json::parse(R"([[0,9,12,"token"]])"));
    CHECK(document["hold_s"] == 4.0);
}

TEST_CASE("the largest heartbeat reply is smaller than 4 KiB")
{
    // Upstreams ignore a larger reply, and their leases then expire.
    KeyHeartbeatReply reply { true, {}, std::chrono::seconds { 4 } };
    for (std::size_t i = 0; i < BalanceLimits {}.maxRangesPerHolder; ++i) {
        reply.grants.push_back({ 60'000, 65'535, { "i-0123456789", 1'700'000'000'000 }, Fence { 1'000'000 }, "7a21d94b36f85c0e", {} });
    }
    CHECK(writeHeartbeatReply(reply, { "10.100.200.250", 65'000 }).size() < 4'096);
}

TEST_CASE("headers of callers are parsed, and malformed ones rejected")
{
    const auto read = CallerHeaders::readRequest(request("GET", "/p/", { { "Host", "h.example:80" }, { "Request-Id", "x" }, { "Deadline-Ms", "1200" }, { "Shard-Key", "65535" } }));
    REQUIRE(read);
    CHECK(read->host == "h.example");
    CHECK(read->timeLeft == std::chrono::milliseconds { 1'200 });
    CHECK(read->key == KeyNumber { 65'535 });
    CHECK(CallerHeaders::readRequest(request("GET", "/")).error() == ResultCode::RequestIdInvalid);
    CHECK(CallerHeaders::readRequest(request("GET", "/", { { "Request-Id", "x" }, { "Deadline-Ms", "soon" } })).error() == ResultCode::RequestDeadlineInvalid);
    CHECK(CallerHeaders::readRequest(request("GET", "/", { { "Request-Id", "x" }, { "Shard-Key", "65536" } })).error() == ResultCode::KeyOutOfRange);
}

TEST_CASE("a status that promises that a request did not run is not passed on without the upstream's statement")
{
    // Guards against a deposit that is taken twice: an upstream that had begun a request answered 503, and the caller sent the
    // request again (review/7).
    const HttpHeader id { "Request-Id", "id-1" };
    const HttpHeader signature { "Upstream-Signature", "s" };
    const auto status = GENERATE(408U, 429U, 503U);
    CHECK(CallerHeaders::classifyResponse(response(status, { id, signature }), info, true) == AttemptOutcome::Ambiguous);
    CHECK(CallerHeaders::classifyResponse(response(status, { id }), info, false) == AttemptOutcome::Ambiguous);
    CHECK(CallerHeaders::classifyResponse(response(status, { id, signature, { "Not-Executed", "1" } }), info, true) == AttemptOutcome::Overloaded);
    CHECK(CallerHeaders::classifyResponse(response(404, { id, signature }), info, true) == AttemptOutcome::Answered);
}

TEST_CASE("responses are classified by id, signature, encoding and status")
{
    const HttpHeader id { "Request-Id", "id-1" };
    const HttpHeader signature { "Upstream-Signature", "s" };
    CHECK(CallerHeaders::classifyResponse(response(200, { id, signature }), info, true) == AttemptOutcome::Answered);
    CHECK(CallerHeaders::classifyResponse(response(200, { id }), info, true) == AttemptOutcome::Lost);
    CHECK(CallerHeaders::classifyResponse(response(200, { signature }), info, true) == AttemptOutcome::Lost);
    CHECK(CallerHeaders::classifyResponse(response(200, { { "Request-Id", "id-0" }, signature }), info, true) == AttemptOutcome::Lost);
    CHECK(CallerHeaders::classifyResponse(response(200, { id, signature, { "Content-Encoding", "gzip" } }), info, true) == AttemptOutcome::Lost);
    CHECK(CallerHeaders::classifyResponse(response(500, { id, signature }), info, true) == AttemptOutcome::Failed);
    CHECK(CallerHeaders::classifyResponse(response(503, { id, { "Not-Executed", "1" } }), info, true) == AttemptOutcome::Overloaded);
    CHECK(CallerHeaders::classifyResponse(response(421, {}), info, true) == AttemptOutcome::Misdirected);
    // A response without an id belongs to the request only if its connection carried no other.
    CHECK(CallerHeaders::classifyResponse(response(421, {}), info, false) == AttemptOutcome::Lost);
    CHECK(CallerHeaders::classifyResponse(response(503, { { "Not-Executed", "1" } }), info, false) == AttemptOutcome::Lost);
    CHECK(CallerHeaders::classifyResponse(response(503, { id, { "Not-Executed", "1" } }), info, false) == AttemptOutcome::Overloaded);
    CHECK(CallerHeaders::classifyResponse(response(503, { { "Request-Id", "id-0" }, { "Not-Executed", "1" } }), info, true) == AttemptOutcome::Lost);
}

TEST_CASE("refusals, unknown outcomes and rejections have distinct statuses")
{
    CHECK(CallerHeaders::refusal(info, ResultCode::RequestShed, std::chrono::milliseconds { 250 }).status == 503);
    CHECK(CallerHeaders::refusal(info, ResultCode::RequestShed, std::chrono::milliseconds { 250 }).headerLines.find("Retry-After: 0.250") != std::string::npos);
    CHECK(CallerHeaders::unknownOutcome(info, ResultCode::RequestOutcomeUnknown).status == 502);
    CHECK(CallerHeaders::unknownOutcome(info, ResultCode::RequestDeadlineExceeded).status == 504);
    CHECK(CallerHeaders::rejection(info, ResultCode::RequestServiceUnknown).status == 404);
}

TEST_CASE("control requests are decoded and results encoded")
{
    CHECK(std::holds_alternative<ReadItems>(ControlApi::decodeRequest(request("GET", "/config"))));
    CHECK(std::get<MalformedControlRequest>(ControlApi::decodeRequest(request("GET", "/other"))).status == 404);
    CHECK(std::get<MalformedControlRequest>(ControlApi::decodeRequest(request("PATCH", "/config", {}, "{"))).status == 400);
    CHECK(std::get<MalformedControlRequest>(ControlApi::decodeRequest(request("PUT", "/instances/i-1", {}, "{}"))).status == 400);
    const auto departure = std::get<Departure>(ControlApi::decodeRequest(request("DELETE", "/instances/i-1", {}, R"({"born":5})")));
    CHECK(departure.name == "i-1");
    CHECK(departure.incarnation == 5U);
    CHECK(!std::get<Departure>(ControlApi::decodeRequest(request("DELETE", "/instances/i-1"))).incarnation);
    for (const auto* body : { "{", "[]", R"({"born":-1})", R"({"born":"now"})" }) {
        INFO(body);
        CHECK(std::get<MalformedControlRequest>(ControlApi::decodeRequest(request("DELETE", "/instances/i-1", {}, body))).status == 400);
    }
    CHECK(ControlApi::encodeResult(HeartbeatRefused {}, {}, "").status == 400);
    const auto redirect = ControlApi::encodeResult(RedirectToLeader { NodeId { 1 } }, { "10.0.0.4", 8'080 }, "/config");
    CHECK(redirect.status == 307);
    CHECK(redirect.headerLines == "Location: http://10.0.0.4:8080/config\r\n");
    CHECK(ControlApi::encodeResult(ItemsResult { ResultCode::ItemConflict, {} }, {}, "").status == 409);
    CHECK(ControlApi::encodeResult(ItemsResult { ResultCode::ItemsInvalid, {} }, {}, "").status == 400);
    CHECK(ControlApi::encodeResult(LeaderUnavailable {}, {}, "").status == 503);
}

TEST_CASE("platform settings are parsed, and unknown fields are ignored")
{
    const auto settings = readPlatformSettings(R"({"node_name":"n","serves":["control_plane"],"ip":"10.1.0.37","zone":"z","zones":{"z":"r"},
        "listen":{"control":"10.1.0.37:8544"},"internal_port_range":[7540,7555],"seeds":["10.1.0.37:8544","10.2.0.36:8544"],"bootstrap":true,
        "limits":{"cpu_cores":2,"memory_mb":260,"bandwidth_mbps":2.5},"data_dir":"/data/x","fault_tolerance":{"machines":2},"bounds":["drain_s=2.5","hold_max_s=10","retry_budget_ratio=0.2","budget_slack=58"],"later":[1]})");
    REQUIRE(settings);
    CHECK(settings->servesControl);
    CHECK(!settings->servesCallers);
    CHECK(settings->control == Endpoint { "10.1.0.37", 8'544 });
    CHECK(settings->seeds.size() == 2);
    CHECK(settings->cores == 2);
    CHECK(settings->memoryBytes == 260'000'000);
    CHECK(settings->linkBytesPerSecond == 312'500);
    CHECK(settings->tolerableLosses == 2);
    CHECK(settings->drain == std::chrono::milliseconds { 2'500 });
    CHECK(settings->retryRatioPerMille == 200);
    CHECK(settings->retrySlack == 58);
    CHECK(readPlatformSettings("{").error() == ResultCode::SettingsSyntax);
    CHECK(readPlatformSettings("{}").error() == ResultCode::SettingsMissingMember);
}

TEST_CASE("a deeply nested document is rejected before it is built")
{
    // Guards against the end of the process: the JSON library recursed once per level of an item when it was written.
    const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    for (const std::size_t depth : { 20, 20'000, 100'000, 4'000'000 }) {
        CHECK(!readItems(R"({"upsert":{"services":{"t":{"version":"00000002","x":)" + nested(depth) + "}}}}"));
        CHECK(!readHeartbeat("i-1", R"({"service":"a","x":)" + nested(depth) + "}"));
        CHECK(!readIncarnation(R"({"born":5,"x":)" + nested(depth) + "}"));
        CHECK(!readItems(std::string(depth, '[')));
    }
    CHECK(readItems(R"({"upsert":{"services":{"t":{"version":"00000002","x":)" + nested(5) + "}}}}"));
    CHECK(readItems(R"({"upsert":{"services":{"t":{"version":"00000002","x":"[[[[[[[[[[[[[[[[[[[[[\"[["}}}})"));
}

TEST_CASE("an item that an older version accepted does not stop a reader of the configuration")
{
    RegistryState state;
    auto deep = serviceItem("t", false);
    deep.document = R"({"version":"00000001","x":)" + std::string(20'000, '[') + std::string(20'000, ']') + "}";
    REQUIRE(applyNext(state, ChangeItems { { deep }, {} }) == ResultCode::Ok);
    CHECK(writeItems(state) == R"({"routes":{},"services":{"t":)" + deep.document + "}}");
}

TEST_CASE("a heartbeat of another writer names no upstream")
{
    // Guards against values that were narrowed or cut silently, and an upstream that no request can reach.
    const auto valid = json::parse(R"({"service":"a","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":2,"state":"ready","warmup_left_s":0,"sequence":4,"born":1700000000000,"holds":[[0,4095,7]],"released":[[4096,8191,"5c0e"]]})");
    REQUIRE(readHeartbeat("i-1", valid.dump()));
    const std::vector<std::pair<const char*, const char*>> odd {
        { "slots", "1e300" },
        { "slots", "-5" },
        { "slots", "0" },
        { "slots", "2.5" },
        { "slots", "4294967298" },
        { "slots", "\"2\"" },
        { "sequence", "1e300" },
        { "sequence", "-1" },
        { "sequence", "1.5" },
        { "born", "-1" },
        { "born", "1e300" },
        { "born", "\"now\"" },
        { "born", "null" },
        { "address", "\"10.0.0.1:80x\"" },
        { "address", "\"nonsense:80\"" },
        { "address", "\"10.0.0.1:0\"" },
        { "address", "\"10.0.0.1:65536\"" },
        { "address", "\"10.0.0.1:-1\"" },
        { "address", "\"10.0.0.1\"" },
        { "address", "\":80\"" },
        { "address", "\"10.0.0.1:99999999999999999999\"" },
        { "service", "\"\"" },
        { "zone", "7" },
        { "holds", "[[0,65536,7]]" },
        { "holds", "[[9,3,7]]" },
        { "holds", "[[0,-1,7]]" },
        { "holds", "[[0,1]]" },
        { "holds", "[[0,1,-7]]" },
        { "holds", "[[0,1,1e300]]" },
        { "holds", "{}" },
        { "holds", "[7]" },
        { "released", "[[65536,65537,\"x\"]]" },
        { "released", "[[2,1,\"x\"]]" },
        { "released", "[[1,2,3]]" },
    };
    for (const auto& [name, text] : odd) {
        auto document = valid;
        document[name] = json::parse(text);
        INFO(name << " " << text);
        CHECK(!readHeartbeat("i-1", document.dump()));
    }
    CHECK(!readHeartbeat(std::string(1'000, 'i'), valid.dump()));
    auto whole = valid;
    whole["born"] = 1.7e12;
    CHECK(readHeartbeat("i-1", whole.dump())->announcement.key.incarnation == 1'700'000'000'000);
}

TEST_CASE("integers of items are checked and not narrowed")
{
    const std::vector<std::pair<const char*, const char*>> odd { { "priority", "-1" }, { "priority", "1e300" }, { "attempts", "4294967297" }, { "attempts", "\"2\"" }, { "timeout_s", "1e300" }, { "timeout_s", "null" } };
    for (const auto& [name, text] : odd) {
        auto bad = routeJson;
        bad[name] = json::parse(text);
        INFO(name << " " << text);
        CHECK(!readItems(json { { "upsert", { { "routes", { { "r", bad } } } } } }.dump()));
    }
}

TEST_CASE("a route may be for downloads and state no timeout")
{
    auto download = routeJson;
    download["kind"] = "download";
    download.erase("timeout_s");
    const auto change = readItems(json { { "upsert", { { "services", { { "a", serviceJson }, { "b", serviceJson } } }, { "routes", { { "r", download } } } } } }.dump());
    REQUIRE(change);
    const auto& route = std::get<RouteItem>(change->upserts[0].content);
    CHECK(route.kind == RequestKind::Download);
    CHECK(route.timeout == RouteItem::noTimeout);
    CHECK(route.targetLatency == std::chrono::milliseconds { 300 });
    RegistryState state;
    CHECK(applyNext(state, *change) == ResultCode::Ok);
}

TEST_CASE("a refused control request says why")
{
    const auto malformed = ControlApi::decodeRequest(request("PATCH", "/config", {}, R"({"upsert":{"limits":{"version":"xyz"}}})"));
    const auto response = ControlApi::encodeMalformedRequest(std::get<MalformedControlRequest>(malformed));
    CHECK(response.status == 400);
    CHECK(json::parse(response.body)["error"] == "a configuration item is invalid: a version is not a hexadecimal number");
    CHECK(json::parse(ControlApi::encodeResult(ItemsResult { ResultCode::ItemConflict, "r has other content" }, {}, "").body)["error"] == "r has other content");
    CHECK(json::parse(ControlApi::encodeMalformedRequest({ 400, "\xff\xfe" }).body).contains("error"));
}

TEST_CASE("an upstream's departure and the pause that it asks for are read, and absurd times are bounded or ignored")
{
    const auto notice = [](unsigned status, std::vector<HttpHeader> headers) { return CallerHeaders::readNotice(response(status, std::move(headers))); };
    CHECK(notice(200, { { "Server-Leaving", "1" } }).isLeaving);
    CHECK(!notice(200, { { "Server-Leaving", "0" } }).isLeaving);
    CHECK(!notice(200, {}).isLeaving);
    CHECK(notice(503, { { "retry-after", "1.5" } }).pause == std::chrono::milliseconds { 1'500 });
    CHECK(notice(503, { { "Retry-After", "2" }, { "Server-Leaving", "1" } }).isLeaving);
    CHECK(notice(429, { { "Retry-After", "2" } }).pause == Duration::zero());
    CHECK(notice(503, { { "Retry-After", "1e18" } }).pause == std::chrono::hours { 1 });
    for (const auto* absurd : { "", "-1", "0", "soon", "nan", "inf", "1e999", "2 seconds", "Fri, 04 Dec 2026 10:00:00 GMT" }) {
        INFO(absurd);
        CHECK(notice(503, { { "Retry-After", absurd } }).pause == Duration::zero());
    }
}

TEST_CASE("the load that an upstream states is read, and a malformed report states no load")
{
    // Guards against reports that are cut off, out of range or of another form and would steer requests.
    const auto load = [](const char* text) { return CallerHeaders::readNotice(response(200, { { "Upstream-Load", text } })).load; };
    CHECK(load("2,0,3") == ReportedLoad { 2, 0, 3, 100 });
    CHECK(load("3,7,3,310") == ReportedLoad { 3, 7, 3, 310 });
    CHECK(CallerHeaders::readNotice(response(503, { { "upstream-load", "1,2,3" } })).load == ReportedLoad { 1, 2, 3, 100 });
    CHECK(!CallerHeaders::readNotice(response(200, {})).load);
    for (const auto* malformed : { "", ",", "1", "1,2", "1,2,", "1,2,3,", "1,2,3,100,", "1,2,3,100,5", "-1,2,3", "+1,2,3", "1, 2,3", " 1,2,3", "1,2,3 ", "1.5,2,3", "0x1,2,3", "a,b,c", "1,2,0", "1,2,3,0",
             "1,2,3,10001", "100001,0,3", "4294967296,0,3", "99999999999999999999,0,3" }) {
        INFO(malformed);
        CHECK(!load(malformed));
    }
}
