#include "core/ownership/HotKeySketch.h"

#include "core/routing/RouteTable.h"

#include <algorithm>
#include <numeric>

namespace teaselturn {

namespace {

    constexpr std::uint32_t minCertainRequests = 2;

}

void HotKeySketch::Key::assign(ServiceId newService, std::string_view key) noexcept
{
    this->service = newService;
    this->length = static_cast<std::uint16_t>(key.size());
    std::copy(key.begin(), key.end(), this->bytes.begin());
}

std::size_t HotKeySketch::find(ServiceId service, std::string_view key, std::uint64_t hash) const noexcept
{
    const auto tag = static_cast<std::uint32_t>(hash);
    std::uint32_t matches = 0;
    for (std::size_t i = 0; i < capacity; ++i) {
        matches += this->tags[i] == tag ? 1 : 0;
    }
    for (std::size_t i = 0; matches > 0 && i < this->used; ++i) {
        if (this->tags[i] == tag && this->keys[i].service == service && this->keys[i].text() == key) {
            return i;
        }
    }
    return this->used;
}

std::size_t HotKeySketch::findMinimum() noexcept
{
    while (this->cursor < capacity && this->counts[this->cursor] != this->minimumCount) {
        ++this->cursor;
    }
    if (this->cursor == capacity) {
        const auto smallest = std::min_element(this->counts.begin(), this->counts.end());
        this->minimumCount = *smallest;
        this->cursor = static_cast<std::size_t>(smallest - this->counts.begin());
    }
    return this->cursor;
}

void HotKeySketch::add(ServiceId service, std::string_view key) noexcept { this->add(service, key, hashKey(key)); }

void HotKeySketch::add(ServiceId service, std::string_view key, std::uint64_t hash) noexcept
{
    if (key.size() > limits::maxKeyBytes) {
        return;
    }
    auto position = this->find(service, key, hash);
    if (position == this->used) {
        if (this->used < capacity) {
            ++this->used;
        } else {
            position = this->findMinimum();
            this->errors[position] = this->counts[position];
        }
        this->tags[position] = static_cast<std::uint32_t>(hash);
        this->keys[position].assign(service, key);
    }
    ++this->counts[position];
}

std::vector<HotKeySample> HotKeySketch::drain(std::size_t maxBytes)
{
    const auto certain = [this](std::size_t position) { return this->counts[position] - this->errors[position]; };
    std::array<std::size_t, capacity> order {};
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::stable_sort(order.begin(), order.end(), [&](auto left, auto right) { return certain(left) > certain(right); });
    std::vector<HotKeySample> samples;
    std::size_t bytes = 0;
    for (const auto position : order) {
        const auto& key = this->keys[position];
        const auto size = limits::keySampleFixedBytes + key.length;
        if (certain(position) >= minCertainRequests && bytes + size <= maxBytes) {
            bytes += size;
            samples.push_back({ key.service, std::string { key.text() }, certain(position) });
        }
    }
    this->used = 0;
    this->cursor = 0;
    this->minimumCount = 0;
    this->counts.fill(0);
    this->errors.fill(0);
    return samples;
}

}
