#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Prometheus text format, version 0.0.4.
namespace teaselturn {

/// Appends the HELP and TYPE lines of a metric.
/// @param help One line.
void writeMetricHead(std::string& text, std::string_view name, std::string_view type, std::string_view help);

/// Appends one sample.
/// @param labels Such as `zone="a"`; may be empty.
void writeSample(std::string& text, std::string_view name, std::string_view labels, std::string_view value);
void writeSample(std::string& text, std::string_view name, std::string_view labels, std::uint64_t value);

/// @return One label with its value escaped.
std::string writeLabel(std::string_view name, std::string_view value);

/// @return Seconds with up to nine decimals, without trailing zeros.
std::string writeSeconds(std::uint64_t nanoseconds);

}
