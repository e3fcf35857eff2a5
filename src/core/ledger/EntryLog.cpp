#include "core/ledger/EntryLog.h"

#include "core/ledger/LedgerLimits.h"

#include <cassert>
#include <iterator>

namespace teaselturn {

namespace {

    /// Estimated size of a command without its strings and lists, in bytes.
    constexpr std::size_t fixedBytes = 64;

    std::size_t variableBytes(const AttachUpstream& command) noexcept
    {
        return command.name.size() + command.endpoint.address.size();
    }

    std::size_t variableBytes(const AssignSlots& command) noexcept
    {
        return command.assignments.size() * sizeof(SlotAssignment);
    }

    std::size_t variableBytes(const BeginMove& command) noexcept
    {
        return command.moves.size() * sizeof(SlotAssignment);
    }

    std::size_t variableBytes(const ReleaseSlots& command) noexcept
    {
        return command.releases.size() * sizeof(SlotRelease);
    }

    std::size_t variableBytes(const AcceptBundle& command) noexcept
    {
        // The parsed bundle is about as large as its canonical bytes, and both are encoded.
        return 2 * command.bundle.canonicalBytes.size() + command.bundle.signatures.size() * sizeof(BundleSignature);
    }

    std::size_t variableBytes(const IsolateHotKey& command) noexcept
    {
        return command.key.size();
    }

    std::size_t variableBytes(const ChangeMembers& command) noexcept
    {
        return command.members.size() * sizeof(MemberSpec);
    }

    std::size_t variableBytes(const ChangeItems& command) noexcept
    {
        std::size_t bytes = command.deletions.size() * sizeof(ItemDeletion);
        for (const auto& item : command.upserts) {
            // Counted twice: the document and its parsed form have about the same size.
            bytes += sizeof(ConfigItem) + item.name.size() + 2 * item.document.size();
        }
        return bytes;
    }

    std::size_t variableBytes(const RegisterUpstream& command) noexcept
    {
        return command.key.name.size() + command.service.size() + command.endpoint.address.size() + command.zone.size();
    }

    std::size_t variableBytes(const AssignKeyRanges& command) noexcept
    {
        return command.grants.size() * sizeof(KeyRangeGrant);
    }

    std::size_t variableBytes(const BeginKeyMoves& command) noexcept
    {
        return command.moves.size() * sizeof(KeyRangeMove);
    }

    template <typename T>
    std::size_t variableBytes(const T&) noexcept
    {
        return 0;
    }

}

std::size_t estimatedBytes(const Command& command) noexcept
{
    return fixedBytes + std::visit([](const auto& alternative) { return variableBytes(alternative); }, command);
}

EntryLog::EntryLog(LogIndex baseIndex, Term baseTerm, std::vector<LogEntry> entries)
    : baseIndex(baseIndex)
    , baseTerm(baseTerm)
{
    for (auto& entry : entries) {
        if (entry.index > baseIndex) {
            this->append(std::move(entry));
        }
    }
}

std::optional<Term> EntryLog::termAt(LogIndex index) const noexcept
{
    if (index == this->baseIndex) {
        return this->baseTerm;
    }
    if (index < this->baseIndex || index > this->lastIndex()) {
        return std::nullopt;
    }
    return this->at(index).term;
}

const LogEntry& EntryLog::at(LogIndex index) const noexcept
{
    assert(index > this->baseIndex && index <= this->lastIndex());
    return this->entries[index.value - this->baseIndex.value - 1];
}

void EntryLog::append(LogEntry entry)
{
    assert(entry.index.value == this->lastIndex().value + 1);
    this->entries.push_back(std::move(entry));
}

void EntryLog::truncateFrom(LogIndex index)
{
    assert(index > this->baseIndex);
    while (this->lastIndex() >= index) {
        this->entries.pop_back();
    }
}

void EntryLog::dropFirst()
{
    this->baseIndex = this->entries.front().index;
    this->baseTerm = this->entries.front().term;
    this->entries.pop_front();
}

void EntryLog::compactThrough(LogIndex index)
{
    assert(index <= this->lastIndex());
    std::size_t retainedBytes = 0;
    LogIndex keepFrom { index.value + 1 };
    while (keepFrom > this->firstIndex() && index.value - keepFrom.value + 1 < limits::maxRetainedEntries) {
        retainedBytes += estimatedBytes(this->at(LogIndex { keepFrom.value - 1 }).command);
        if (retainedBytes > limits::maxRetainedBytes) {
            break;
        }
        --keepFrom.value;
    }
    while (this->firstIndex() < keepFrom) {
        this->dropFirst();
    }
}

void EntryLog::reset(LogIndex index, Term term)
{
    this->entries.clear();
    this->baseIndex = index;
    this->baseTerm = term;
}

std::vector<LogEntry> EntryLog::slice(LogIndex from, LogIndex through, std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (auto index = from; index <= through && index <= this->lastIndex(); ++index.value) {
        const auto& entry = this->at(index);
        bytes += estimatedBytes(entry.command);
        if (!result.empty() && bytes > maxBytes) {
            break;
        }
        result.push_back(entry);
    }
    return result;
}

}
