#pragma once

#include "teaselturn/ResultCode.h"

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace teaselturn {

/// Why an operation failed: a result code, with details if they help the reader.
struct Failure {
    std::error_code code;
    /// Empty on hot paths, which do not allocate.
    std::string detail;

    /// @return The code's message, followed by the detail if there is one.
    std::string describe() const;

    friend bool operator==(const Failure&, const Failure&) = default;
};

/// Value type of a Result that reports only success or failure.
using Success = std::monostate;

/// Either a value or a Failure. It must not be discarded. Accessing the alternative that is not held is a programming
/// error.
/// @tparam T Type of the value.
template <typename T>
class [[nodiscard]] Result {
public:
    Result(T value);
    Result(Failure failure);
    Result(ResultCode code, std::string detail = {});

    /// @return True if the operation succeeded.
    bool hasValue() const noexcept;
    explicit operator bool() const noexcept { return this->hasValue(); }

    /// @return The value. Requires hasValue().
    T& value() &;
    const T& value() const&;
    T&& value() &&;
    T& operator*() & { return this->value(); }
    const T& operator*() const& { return this->value(); }
    T&& operator*() && { return std::move(*this).value(); }
    T* operator->() { return &this->value(); }
    const T* operator->() const { return &this->value(); }

    /// @return The failure. Requires !hasValue().
    const Failure& failure() const&;
    /// @return The code of the failure, or a code equal to zero on success.
    std::error_code error() const noexcept;

private:
    std::variant<T, Failure> content;
};

/// Result of an operation that returns no value.
using Status = Result<Success>;

/// @return A successful Status.
inline Status success() { return Success {}; }

}

#include "teaselturn/ResultInlines.h"
