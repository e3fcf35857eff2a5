#pragma once

#include "teaselturn/Registry.h"

#include <span>
#include <vector>

/// Operations on the key ranges of a service: ascending, without gap, over every key number.
namespace teaselturn {

/// @return One range over all keys, without an owner.
std::vector<KeyRange> emptyKeyRanges();

/// @return The range that holds the key, or null where ranges is empty.
const KeyRange* findKeyRange(std::span<const KeyRange> ranges, KeyNumber key) noexcept;

/// Gives keys to an owner under a fence. Ranges that the grant covers in part are split.
void grantKeys(std::vector<KeyRange>& ranges, const KeyRangeGrant& grant, Fence fence);

/// Marks owned keys as moving to a target; keys that the target owns already are not marked.
void markMove(std::vector<KeyRange>& ranges, const KeyRangeMove& move);

/// Joins neighbours that differ in nothing but their keys.
void joinKeyRanges(std::vector<KeyRange>& ranges);

}
