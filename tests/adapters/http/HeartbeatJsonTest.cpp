#include "adapters/http/HeartbeatJson.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

TEST_CASE("heartbeat messages round-trip through JSON", "[http]")
{
    const HeartbeatMessage heartbeat { "up-1", 0xffff'ffff'ffff'ffffU, 12, 7, "tills", "wc-paarl", { "127.0.0.1", 8080 }, 3,
        110, true, true, 9, { { 1, 2 }, { firstHotKeySlot, 4 } } };
    CHECK(decodeHeartbeat(encodeHeartbeat(heartbeat)).value() == heartbeat);
    HeartbeatReplyMessage reply { 0, 21, 22, 5, 7, 1'000, 9, true, { { 1, 2 } }, { { 3, 4 } } };
    CHECK(decodeHeartbeatReply(encodeHeartbeatReply(reply)).value() == reply);
    reply.grantsIncluded = false;
    reply.grants.clear();
    CHECK(decodeHeartbeatReply(encodeHeartbeatReply(reply)).value() == reply);
}

TEST_CASE("heartbeats with unknown, duplicate, missing or invalid members are rejected", "[http]")
{
    // Lenient parsing could let two parsers read different values from the same message.
    const HeartbeatMessage heartbeat { "up-1", 1, 12, 7, "tills", "wc-paarl", { "127.0.0.1", 80 }, 3, 110, true, false, 9 };
    const auto good = encodeHeartbeat(heartbeat);
    REQUIRE(decodeHeartbeat(good));
    const auto changed = [&](const std::string& from, const std::string& to) {
        auto text = good;
        const auto at = text.find(from);
        REQUIRE(at != std::string::npos);
        return decodeHeartbeat(text.replace(at, from.size(), to));
    };
    CHECK(changed("\"leaving\":false", "\"leaving\":false,\"more\":1").error() == ResultCode::HeartbeatInvalid);
    CHECK_FALSE(changed("\"leaving\":false", "\"leaving\":false,\"leaving\":true"));
    CHECK_FALSE(changed("\"leaving\":false,", ""));
    CHECK_FALSE(changed("\"leaving\":false", "\"leaving\":0"));
    CHECK_FALSE(changed("\"port\":80", "\"port\":65616"));
    CHECK_FALSE(changed("\"port\":80", "\"port\":0"));
    CHECK_FALSE(changed("\"requestSlots\":3", "\"requestSlots\":-3"));
    CHECK_FALSE(changed("\"requestSlots\":3", "\"requestSlots\":3.5"));
    CHECK_FALSE(changed("\"released\":[]", "\"released\":[{\"slot\":1}]"));
    CHECK_FALSE(changed("\"released\":[]", "\"released\":[{\"slot\":1,\"fence\":2,\"slot\":3}]"));
    CHECK_FALSE(changed("\"service\":\"tills\"", "\"service\":\"\""));
    for (const auto* text : { "", "{", "[]", "null", "1" }) {
        CHECK_FALSE(decodeHeartbeat(text));
        CHECK_FALSE(decodeHeartbeatReply(text));
    }
}
