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
#include "request/membership.h"
#include "request/retry_budget.h"
#include "request/router.h"

// Delivery: the life of one caller's request, at most once.
#include "delivery/attempt_guard.h"
#include "delivery/claim_book.h"
#include "delivery/request_flow.h"

// Placement: what fits where, learned sizes, interference, quotas, quarantine.
#include "placement/ledger.h"
#include "placement/scheduler.h"

// Work: who decides for which workers, and tasks that run once.
#include "work/ownership.h"
#include "work/task_keeper.h"
#include "work/task_table.h"
#include "work/trace_checker.h"

// Configuration: the operators' folder as generations that only rise.
#include "config/generation_follower.h"
#include "config/generations.h"
#include "config/validate.h"
