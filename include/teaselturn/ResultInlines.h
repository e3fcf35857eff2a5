#pragma once

#include "teaselturn/Result.h"

#include <cassert>

namespace teaselturn {

inline std::string Failure::describe() const
{
    return this->detail.empty() ? this->code.message() : this->code.message() + ": " + this->detail;
}

template <typename T>
Result<T>::Result(T value)
    : content(std::in_place_index<0>, std::move(value))
{
}

template <typename T>
Result<T>::Result(Failure failure)
    : content(std::in_place_index<1>, std::move(failure))
{
}

template <typename T>
Result<T>::Result(ResultCode code, std::string detail)
    : content(std::in_place_index<1>, Failure { code, std::move(detail) })
{
}

template <typename T>
bool Result<T>::hasValue() const noexcept
{
    return this->content.index() == 0;
}

template <typename T>
T& Result<T>::value() &
{
    assert(this->hasValue());
    return std::get<0>(this->content);
}

template <typename T>
const T& Result<T>::value() const&
{
    assert(this->hasValue());
    return std::get<0>(this->content);
}

template <typename T>
T&& Result<T>::value() &&
{
    assert(this->hasValue());
    return std::get<0>(std::move(this->content));
}

template <typename T>
const Failure& Result<T>::failure() const&
{
    assert(!this->hasValue());
    return std::get<1>(this->content);
}

template <typename T>
std::error_code Result<T>::error() const noexcept
{
    return this->hasValue() ? std::error_code {} : std::get<1>(this->content).code;
}

}
