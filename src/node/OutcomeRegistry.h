#pragma once

#include "core/Mutex.h"
#include "core/request/OutcomeTable.h"

#include <string_view>
#include <utility>

namespace teaselturn {

/// The entry VM's OutcomeTable, shared by all workers. Its mutex is OutcomeTable in the lock order.
class OutcomeRegistry {
public:
    explicit OutcomeRegistry(std::size_t capacity = OutcomeTable::maxIds)
        : table(capacity)
    {
    }

    OutcomeLookup begin(Instant now, std::string_view requestId)
    {
        const MutexLock lock { this->mutex };
        return this->table.begin(now, requestId);
    }

    void finish(Instant now, std::string_view requestId, RecordedOutcome outcome)
    {
        const MutexLock lock { this->mutex };
        this->table.finish(now, requestId, std::move(outcome));
    }

private:
    Mutex mutex;
    OutcomeTable table ABSL_GUARDED_BY(mutex);
};

}
