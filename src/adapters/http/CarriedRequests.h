#pragma once

#include <absl/container/flat_hash_set.h>
#include <cstddef>
#include <string_view>

namespace teaselturn {

/// Ids of the requests that one connection to an upstream has carried. A response names its request by the id only, so a
/// connection that carries an id twice could deliver a late copy of the first response in place of the second one.
/// Stores hashes: a collision only makes a request use another connection.
class CarriedRequests {
public:
    /// A connection that has carried this many requests is not used again, which bounds the memory of the hashes.
    static constexpr std::size_t maxRequests = 1'024;

    /// @return True if the connection may carry a request with this id.
    bool mayCarry(std::string_view requestId) const { return !this->isFull() && !this->hashes.contains(absl::HashOf(requestId)); }
    void record(std::string_view requestId) { this->hashes.insert(absl::HashOf(requestId)); }
    bool isFull() const noexcept { return this->hashes.size() >= maxRequests; }
    std::size_t count() const noexcept { return this->hashes.size(); }

private:
    absl::flat_hash_set<std::size_t> hashes;
};

}
