// The zinniabarrow library: the coordination parts, without any I/O.
//
// The larger parts are given events and the current time `now`, and return actions for the
// embedding program to execute; the smaller ones, such as router and retry_budget, have plain
// functions. No part has a clock, socket, thread or global random generator; the embedding program
// provides those. See examples/embedding.cpp.
#pragma once

// Shared basics: time, errors and their answers, names, hashing, random numbers.
#include "base/answer_check.h"
#include "base/errors.h"
#include "base/hash.h"
#include "base/names.h"
#include "base/random.h"
#include "base/time.h"

// The platform's records, and an in-memory table and object store for tests.
#include "platform/memory_platform.h"
#include "platform/records.h"

// Requests: which upstreams may be used and which is chosen, retries, admission.
#include "request/admission.h"
#include "request/announcer.h"
#include "request/latency_window.h"
#include "request/membership.h"
#include "request/retry_budget.h"
#include "request/router.h"

// Delivery: executes a caller's request at most once.
#include "delivery/attempt_guard.h"
#include "delivery/claim_coordinator.h"
#include "delivery/request_flow.h"

// Placement: capacity, learned sizes, interference, quotas, quarantine.
#include "placement/reservation_ledger.h"
#include "placement/scheduler.h"

// Work: which entry owns which shard of the workers, tasks that run once, and the division of
// teams' quotas among the shards.
#include "work/ownership.h"
#include "work/quota_parts.h"
#include "work/task_coordinator.h"
#include "work/task_supervisor.h"
#include "work/trace_checker.h"
#include "work/usage.h"

// Configuration: the operators' folder as numbered generations, and the slice of it for one agent.
#include "config/content_slice.h"
#include "config/generation_follower.h"
#include "config/generations.h"
#include "config/validate.h"
