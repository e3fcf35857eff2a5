#include "platform/ControlApi.h"

#include <catch2/catch.hpp>

using namespace teaselturn;
using namespace teaselturn::platform;

namespace {

ControlRequest decode(std::string method, std::string target)
{
    return ControlApi::decodeRequest({ std::move(method), std::move(target), {}, {}, true });
}

unsigned statusOf(const ControlRequest& request)
{
    const auto* malformed = std::get_if<MalformedControlRequest>(&request);
    return malformed == nullptr ? 0 : malformed->status;
}

}

TEST_CASE("evacuation orders and withdrawals are decoded")
{
    const auto order = std::get<EvacuationOrder>(decode("POST", "/evacuations/zone-1"));
    CHECK(order.zone == "zone-1");
    CHECK(order.isEvacuated);
    const auto withdrawal = std::get<EvacuationOrder>(decode("DELETE", "/evacuations/zone-1"));
    CHECK(withdrawal.zone == "zone-1");
    CHECK(!withdrawal.isEvacuated);
}

TEST_CASE("malformed evacuation orders are rejected")
{
    // Guards against an order for another zone than the operator meant.
    CHECK(statusOf(decode("PUT", "/evacuations/z")) == 405);
    CHECK(statusOf(decode("GET", "/evacuations/z")) == 405);
    CHECK(statusOf(decode("POST", "/evacuations/")) == 404);
    CHECK(statusOf(decode("POST", "/evacuations")) == 404);
    CHECK(statusOf(decode("POST", "/evacuations/a/b")) == 400);
    CHECK(statusOf(decode("POST", "/evacuations/a%20b")) == 400);
    CHECK(statusOf(decode("POST", "/evacuations/" + std::string(256, 'z'))) == 400);
}

TEST_CASE("recorded evacuation orders are acknowledged with 200, and refused ones with 400")
{
    CHECK(ControlApi::encodeResult(EvacuationRecorded {}, {}, "").status == 200);
    CHECK(ControlApi::encodeResult(EvacuationRecorded { ResultCode::ItemsInvalid }, {}, "").status == 400);
    const auto redirect = ControlApi::encodeResult(RedirectToLeader { NodeId { 1 } }, { "10.0.0.4", 8'080 }, "/evacuations/z");
    CHECK(redirect.status == 307);
    CHECK(redirect.headerLines == "Location: http://10.0.0.4:8080/evacuations/z\r\n");
}
