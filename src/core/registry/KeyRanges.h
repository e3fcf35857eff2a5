#pragma once

#include "teaselturn/Registry.h"

#include <span>
#include <vector>

/// Operations on the key ranges of a service. The ranges are ascending, without gaps, and cover every key number.
namespace teaselturn {

/// @return A single range over all keys, without an owner.
std::vector<KeyRange> emptyKeyRanges();

/// @return The range that contains the key, or null if ranges is empty.
const KeyRange* findKeyRange(std::span<const KeyRange> ranges, KeyNumber key) noexcept;

/// Assigns keys to an owner under a fence and ends moves of these keys. Splits ranges that the grant covers partly.
void grantKeys(std::vector<KeyRange>& ranges, const KeyRangeGrant& grant, Fence fence);

/// Marks owned keys as moving to a target, except keys that the target owns already.
void markMove(std::vector<KeyRange>& ranges, const KeyRangeMove& move);

/// Joins adjacent ranges with the same owner, fence, handover and target.
void joinKeyRanges(std::vector<KeyRange>& ranges);

}
