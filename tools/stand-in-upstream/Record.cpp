#include "Record.h"

#include <utility>

using teaselturn::Instant;

namespace {

std::string formatInstant(Instant instant)
{
    return std::to_string(instant.time_since_epoch().count());
}

}

Record::Record(const std::string& path, std::string service, std::uint64_t incarnation)
    : service(std::move(service))
    , incarnation(incarnation)
    , isDisabled(path.empty())
    , file(path.empty() ? nullptr : std::fopen(path.c_str(), "a"))
{
}

Record::~Record()
{
    if (this->file) {
        std::fclose(this->file);
    }
}

void Record::append(const std::string& line)
{
    if (this->file) {
        const teaselturn::MutexLock lock { this->mutex };
        std::fwrite(line.data(), 1, line.size(), this->file);
        std::fflush(this->file);
    }
}

void Record::writeRun(Instant at, std::string_view requestId, std::uint32_t slot, std::uint64_t fence, bool isIdempotent,
    std::string_view key)
{
    this->append("run " + formatInstant(at) + " " + std::string { requestId } + " " + this->service + " " + std::to_string(slot)
        + " " + std::to_string(fence) + " " + std::to_string(this->incarnation) + (isIdempotent ? " yes " : " no ")
        + std::string { key } + "\n");
}

void Record::writeOwnership(Instant from, Instant to, std::uint32_t slot, std::uint64_t fence)
{
    this->append("own " + formatInstant(from) + " " + formatInstant(to) + " " + this->service + " " + std::to_string(slot) + " "
        + std::to_string(fence) + " " + std::to_string(this->incarnation) + "\n");
}
