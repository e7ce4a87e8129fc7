// Sizes of the messages between entries and agents, and of what is stored of a job. Senders and
// receivers read the same constant, so that nothing is sent that its receiver refuses for its size.
// docs/design/PLATFORM.md lists who sends what.
#pragma once

#include <cstddef>

namespace zinniabarrow::jobs {

// Body of a call with orders, entry to agent. Agents of the previous release take the same.
constexpr std::size_t MaxOrderCallBytes = 256 * 1024;
// Body of any call to an entry: reports, jobs that are handed over, relayed calls to the store.
constexpr std::size_t MaxEntryCallBytes = 4 * 1024 * 1024;
// Answer of a worker to a poll: up to 500 ends and all active runs, each with a checkpoint.
constexpr std::size_t MaxPollAnswerBytes = 16 * 1024 * 1024;

constexpr std::size_t MaxPayloadBytes = 4000; // that a caller submits with a job
// Members and elements in the body of a job. 64 steps of 18 members, each after all steps before
// it, have about 3,200.
constexpr std::size_t MaxJobValues = 8192;
// Of the names in all steps of a job: labels, racks and images.
constexpr std::size_t MaxNameBytes = 16 * 1024;
// Of one checkpoint. A run with a longer one goes on, and its next run starts without it.
constexpr std::size_t MaxCheckpointBytes = 16 * 1024;
constexpr std::size_t MaxRowBytes = 64 * 1024; // value of a row, before base64

} // namespace zinniabarrow::jobs
