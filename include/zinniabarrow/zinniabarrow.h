// zinniabarrow as a library: the coordination parts, without any I/O.
//
// Each part takes an event and `now`, and returns actions. It has no clock, socket, thread or
// global generator inside; you bring those. examples/embedding.cpp shows one part at work.
#pragma once

// Everyone's: time, errors and their answers, names, hashing, random numbers.
#include "base/answer_check.h"
#include "base/errors.h"
#include "base/hash.h"
#include "base/names.h"
#include "base/random.h"
#include "base/time.h"

// The platform's records, and a table and object store in memory for tests.
#include "platform/memory_platform.h"
#include "platform/records.h"

// Requests: who may be routed to, which one to choose, when to retry, what to let through.
#include "request/admission.h"
#include "request/announcer.h"
#include "request/latency_window.h"
#include "request/membership.h"
#include "request/retry_budget.h"
#include "request/router.h"

// Delivery: the life of one caller's request, at most once.
#include "delivery/attempt_guard.h"
#include "delivery/claim_coordinator.h"
#include "delivery/request_flow.h"

// Placement: what fits where, learned sizes, interference, quotas, quarantine.
#include "placement/reservation_ledger.h"
#include "placement/scheduler.h"

// Work: who decides for which workers, tasks that run once, quotas over all shards.
#include "work/ownership.h"
#include "work/quota_parts.h"
#include "work/task_coordinator.h"
#include "work/task_supervisor.h"
#include "work/trace_checker.h"
#include "work/usage.h"

// Configuration: the operators' folder as generations that only rise, and an agent's slice of it.
#include "config/content_slice.h"
#include "config/generation_follower.h"
#include "config/generations.h"
#include "config/validate.h"
