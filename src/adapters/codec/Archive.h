#pragma once

#include "teaselturn/Types.h"

#include <array>
#include <cereal/cereal.hpp>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <optional>
#include <span>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

/// Binary cereal archives over spans, for messages, log records and snapshots. Integers are little-endian. Sizes read
/// from the input are checked against the remaining bytes, so that malicious input cannot cause allocations out of
/// proportion to its length.
namespace teaselturn {

/// Thrown by cereal's loaders on malformed input; decode() converts it to a failed Result.
struct DecodeError : cereal::Exception {
    using cereal::Exception::Exception;
};

/// Appends encoded values to a vector of bytes, which must outlive the archive.
class EncodeArchive : public cereal::OutputArchive<EncodeArchive, cereal::AllowEmptyClassElision> {
public:
    explicit EncodeArchive(std::vector<std::uint8_t>& bytes)
        : OutputArchive(this)
        , bytes(bytes)
    {
    }

    template <typename Integer>
    void writeInteger(Integer value)
    {
        using Unsigned = std::make_unsigned_t<Integer>;
        auto rest = static_cast<Unsigned>(value);
        for (std::size_t i = 0; i < sizeof(Integer); ++i) {
            this->bytes.push_back(static_cast<std::uint8_t>(rest & 0xff));
            rest = static_cast<Unsigned>(static_cast<std::uint64_t>(rest) >> 8);
        }
    }

    void writeBytes(std::span<const std::uint8_t> data) { this->bytes.insert(this->bytes.end(), data.begin(), data.end()); }

private:
    std::vector<std::uint8_t>& bytes;
};

/// Decodes values from a span. The span's bytes must outlive the archive.
class DecodeArchive : public cereal::InputArchive<DecodeArchive, cereal::AllowEmptyClassElision> {
public:
    explicit DecodeArchive(std::span<const std::uint8_t> bytes)
        : InputArchive(this)
        , rest(bytes)
    {
    }

    template <typename Integer>
    Integer readInteger()
    {
        using Unsigned = std::make_unsigned_t<Integer>;
        const auto data = this->readBytes(sizeof(Integer));
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(Integer); ++i) {
            value |= static_cast<std::uint64_t>(data[i]) << (8 * i);
        }
        return static_cast<Integer>(static_cast<Unsigned>(value));
    }

    std::span<const std::uint8_t> readBytes(std::size_t count)
    {
        if (count > this->rest.size()) {
            throw DecodeError("unexpected end of input");
        }
        const auto data = this->rest.first(count);
        this->rest = this->rest.subspan(count);
        return data;
    }

    /// Reads the number of elements of a sequence; each element takes at least one byte.
    std::size_t readCount()
    {
        const auto count = this->readInteger<std::uint32_t>();
        if (count > this->rest.size()) {
            throw DecodeError("sequence is longer than the input");
        }
        return count;
    }

    std::size_t remaining() const noexcept { return this->rest.size(); }

private:
    std::span<const std::uint8_t> rest;
};

/// Version of the encoding, stored in frames, log files and snapshots.
inline constexpr std::uint8_t encodingVersion = 1;

// cereal finds these by argument-dependent lookup on the archive. cereal prescribes the names.
// NOLINTBEGIN(readability-identifier-naming)

template <typename T>
concept Scalar = std::is_integral_v<T> && !std::is_same_v<T, bool>;

template <Scalar T>
void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive& archive, const T& value)
{
    archive.writeInteger(value);
}

template <Scalar T>
void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive& archive, T& value)
{
    value = archive.readInteger<T>();
}

inline void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive& archive, const bool& value)
{
    archive.writeInteger<std::uint8_t>(value ? 1 : 0);
}

inline void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive& archive, bool& value)
{
    const auto byte = archive.readInteger<std::uint8_t>();
    if (byte > 1) {
        throw DecodeError("a boolean is neither 0 nor 1");
    }
    value = byte == 1;
}

inline void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive& archive, const std::string& value)
{
    archive.writeInteger(static_cast<std::uint32_t>(value.size()));
    archive.writeBytes({ reinterpret_cast<const std::uint8_t*>(value.data()), value.size() });
}

inline void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive& archive, std::string& value)
{
    const auto data = archive.readBytes(archive.readCount());
    value.assign(reinterpret_cast<const char*>(data.data()), data.size());
}

template <std::size_t N>
void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive& archive, const std::array<std::uint8_t, N>& value)
{
    archive.writeBytes(value);
}

template <std::size_t N>
void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive& archive, std::array<std::uint8_t, N>& value)
{
    const auto data = archive.readBytes(N);
    std::memcpy(value.data(), data.data(), N);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive& archive, const std::vector<T>& value)
{
    archive.writeInteger(static_cast<std::uint32_t>(value.size()));
    if constexpr (std::is_same_v<T, std::uint8_t>) {
        archive.writeBytes(value);
    } else {
        for (const auto& element : value) {
            archive(element);
        }
    }
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive& archive, std::vector<T>& value)
{
    const auto count = archive.readCount();
    value.clear();
    if constexpr (std::is_same_v<T, std::uint8_t>) {
        const auto data = archive.readBytes(count);
        value.assign(data.begin(), data.end());
    } else {
        for (std::size_t i = 0; i < count; ++i) {
            archive(value.emplace_back());
        }
    }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive& archive, const std::optional<T>& value)
{
    archive(value.has_value());
    if (value) {
        archive(*value);
    }
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive& archive, std::optional<T>& value)
{
    bool isPresent = false;
    archive(isPresent);
    value.reset();
    if (isPresent) {
        archive(value.emplace());
    }
}

template <typename... Ts>
void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive& archive, const std::variant<Ts...>& value)
{
    archive.writeInteger(static_cast<std::uint8_t>(value.index()));
    std::visit([&archive](const auto& alternative) { archive(alternative); }, value);
}

template <std::size_t I, typename... Ts>
void loadAlternative(DecodeArchive& archive, std::variant<Ts...>& value, std::size_t index)
{
    if constexpr (I < sizeof...(Ts)) {
        if (index == I) {
            archive(value.template emplace<I>());
        } else {
            loadAlternative<I + 1>(archive, value, index);
        }
    } else {
        throw DecodeError("unknown alternative of a variant");
    }
}

template <typename... Ts>
void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive& archive, std::variant<Ts...>& value)
{
    loadAlternative<0>(archive, value, archive.readInteger<std::uint8_t>());
}

inline void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive& archive, const std::chrono::milliseconds& value)
{
    archive.writeInteger(static_cast<std::int64_t>(value.count()));
}

inline void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive& archive, std::chrono::milliseconds& value)
{
    value = std::chrono::milliseconds { archive.readInteger<std::int64_t>() };
}

inline void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive& archive, const Duration& value)
{
    archive.writeInteger(static_cast<std::int64_t>(value.count()));
}

inline void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive& archive, Duration& value)
{
    value = Duration { archive.readInteger<std::int64_t>() };
}

/// Reads or writes an enumeration as its underlying integer; a value above last is malformed.
template <typename Archive, typename Enum>
void serializeEnum(Archive& archive, Enum& value, Enum last)
{
    using Underlying = std::underlying_type_t<Enum>;
    auto number = static_cast<Underlying>(value);
    archive(number);
    if (number > static_cast<Underlying>(last)) {
        throw DecodeError("unknown value of an enumeration");
    }
    value = static_cast<Enum>(number);
}

// NOLINTEND(readability-identifier-naming)

}

CEREAL_SETUP_ARCHIVE_TRAITS(teaselturn::DecodeArchive, teaselturn::EncodeArchive)
