#include "adapters/http/HeartbeatJson.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace teaselturn {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maxNameBytes = 128;
    constexpr std::size_t maxSlots = teaselturn::limits::maxPartitions + teaselturn::limits::maxHotKeys;

    /// Thrown by the decoder; caught in decode().
    struct JsonDecodeError : std::runtime_error {
        using std::runtime_error::runtime_error;
    };

    /// Parses JSON and rejects duplicate members, which the library would accept.
    Json parse(std::string_view text)
    {
        std::vector<std::set<std::string>> members;
        const auto check = [&members](int, Json::parse_event_t event, Json& value) {
            if (event == Json::parse_event_t::object_start) {
                members.emplace_back();
            } else if (event == Json::parse_event_t::object_end) {
                members.pop_back();
            } else if (event == Json::parse_event_t::key && !members.back().insert(value.get<std::string>()).second) {
                throw JsonDecodeError { "member \"" + value.get<std::string>() + "\" occurs twice" };
            }
            return true;
        };
        return Json::parse(text, check);
    }

    /// Reads the members of a JSON object, each once. finish() rejects members that were not read.
    class ObjectReader {
    public:
        explicit ObjectReader(const Json& object)
            : object(object)
        {
            if (!object.is_object()) {
                throw JsonDecodeError { "an object is expected" };
            }
        }

        bool has(const char* name) const { return this->object.contains(name); }

        const Json& member(const char* name)
        {
            const auto found = this->object.find(name);
            if (found == this->object.end()) {
                throw JsonDecodeError { std::string { "member \"" } + name + "\" is missing" };
            }
            ++this->readMembers;
            return *found;
        }

        template <typename Number>
        Number number(const char* name)
        {
            const auto& value = this->member(name);
            if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
                throw JsonDecodeError { std::string { "member \"" } + name + "\" is not a number in range" };
            }
            return value.get<Number>();
        }

        bool boolean(const char* name)
        {
            const auto& value = this->member(name);
            if (!value.is_boolean()) {
                throw JsonDecodeError { std::string { "member \"" } + name + "\" is not true or false" };
            }
            return value.get<bool>();
        }

        std::string text(const char* name)
        {
            const auto& value = this->member(name);
            if (!value.is_string() || value.get_ref<const std::string&>().empty()
                || value.get_ref<const std::string&>().size() > maxNameBytes) {
                throw JsonDecodeError { std::string { "member \"" } + name + "\" is not a text of 1 to 128 bytes" };
            }
            return value.get<std::string>();
        }

        std::vector<SlotMessage> slots(const char* name)
        {
            const auto& list = this->member(name);
            if (!list.is_array() || list.size() > maxSlots) {
                throw JsonDecodeError { std::string { "member \"" } + name + "\" is not a list of slots" };
            }
            std::vector<SlotMessage> result;
            result.reserve(list.size());
            for (const auto& element : list) {
                ObjectReader slot { element };
                result.push_back({ slot.number<std::uint32_t>("slot"), slot.number<std::uint64_t>("fence") });
                slot.finish();
            }
            return result;
        }

        void finish() const
        {
            if (this->readMembers != this->object.size()) {
                throw JsonDecodeError { "an object has an unknown member" };
            }
        }

    private:
        const Json& object;
        std::size_t readMembers {};
    };

    Json slotsToJson(const std::vector<SlotMessage>& slots)
    {
        auto list = Json::array();
        for (const auto& slot : slots) {
            list.push_back({ { "slot", slot.slot }, { "fence", slot.fence } });
        }
        return list;
    }

    template <typename Message, typename Read>
    Result<Message> decode(std::string_view json, Read read)
    {
        try {
            const auto document = parse(json);
            ObjectReader reader { document };
            auto message = read(reader);
            reader.finish();
            return message;
        } catch (const JsonDecodeError& invalid) {
            return { ResultCode::HeartbeatInvalid, invalid.what() };
        } catch (const Json::exception&) {
            return { ResultCode::HeartbeatInvalid, "not valid JSON" };
        }
    }

    HeartbeatMessage readHeartbeat(ObjectReader& reader)
    {
        HeartbeatMessage message;
        message.name = reader.text("name");
        message.incarnation = reader.number<std::uint64_t>("incarnation");
        message.sequence = reader.number<std::uint64_t>("sequence");
        message.session = reader.number<std::uint64_t>("session");
        message.service = reader.text("service");
        message.zone = reader.text("zone");
        message.endpoint = { reader.text("address"), reader.number<std::uint16_t>("port") };
        message.requestSlots = reader.number<std::uint32_t>("requestSlots");
        message.connectionLimit = reader.number<std::uint32_t>("connectionLimit");
        message.checksGrants = reader.boolean("checksGrants");
        message.isLeaving = reader.boolean("leaving");
        message.grantsVersion = reader.number<std::uint64_t>("grantsVersion");
        message.released = reader.slots("released");
        if (message.endpoint.port == 0 || message.requestSlots == 0 || message.connectionLimit == 0) {
            throw JsonDecodeError { "port, requestSlots and connectionLimit must not be 0" };
        }
        return message;
    }

    HeartbeatReplyMessage readReply(ObjectReader& reader)
    {
        HeartbeatReplyMessage message;
        message.code = reader.number<std::uint32_t>("code");
        message.incarnation = reader.number<std::uint64_t>("incarnation");
        message.sequence = reader.number<std::uint64_t>("sequence");
        message.upstream = reader.number<std::uint64_t>("upstream");
        message.session = reader.number<std::uint64_t>("session");
        message.leaseMilliseconds = reader.number<std::uint32_t>("leaseMs");
        message.grantsVersion = reader.number<std::uint64_t>("grantsVersion");
        message.grantsIncluded = reader.has("grants");
        if (message.grantsIncluded) {
            message.grants = reader.slots("grants");
        }
        message.releaseWanted = reader.slots("releaseWanted");
        return message;
    }

}

std::string encodeHeartbeat(const HeartbeatMessage& heartbeat)
{
    return Json { { "name", heartbeat.name }, { "incarnation", heartbeat.incarnation }, { "sequence", heartbeat.sequence },
        { "session", heartbeat.session }, { "service", heartbeat.service }, { "zone", heartbeat.zone },
        { "address", heartbeat.endpoint.address }, { "port", heartbeat.endpoint.port },
        { "requestSlots", heartbeat.requestSlots }, { "connectionLimit", heartbeat.connectionLimit },
        { "checksGrants", heartbeat.checksGrants }, { "leaving", heartbeat.isLeaving },
        { "grantsVersion", heartbeat.grantsVersion }, { "released", slotsToJson(heartbeat.released) } }
        .dump();
}

Result<HeartbeatMessage> decodeHeartbeat(std::string_view json)
{
    return decode<HeartbeatMessage>(json, readHeartbeat);
}

std::string encodeHeartbeatReply(const HeartbeatReplyMessage& reply)
{
    Json json { { "code", reply.code }, { "incarnation", reply.incarnation }, { "sequence", reply.sequence },
        { "upstream", reply.upstream }, { "session", reply.session },
        { "leaseMs", reply.leaseMilliseconds }, { "grantsVersion", reply.grantsVersion },
        { "releaseWanted", slotsToJson(reply.releaseWanted) } };
    if (reply.grantsIncluded) {
        json["grants"] = slotsToJson(reply.grants);
    }
    return json.dump();
}

Result<HeartbeatReplyMessage> decodeHeartbeatReply(std::string_view json)
{
    return decode<HeartbeatReplyMessage>(json, readReply);
}

}
