// Values of the task store's rows, for its implementation files only.
#pragma once

#include <cstdint>

#include "work/task_store.h"

namespace zinniabarrow::work {

// The record of a task in a map by task index; null: none.
template <typename Map>
const task_record *findRecord(const Map &records, std::uint32_t index)
{
    const auto found = records.find(index);
    return found == records.end() ? nullptr : &found->second;
}

// The newest of a value's three versions: staged, in flight or committed.
template <typename State>
auto &newestValue(State &state)
{
    if (state.staged)
        return state.staged;
    return state.inFlight ? state.inFlight : state.committed;
}

} // namespace zinniabarrow::work
