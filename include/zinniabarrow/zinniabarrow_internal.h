// Internal parts that zinniabarrow's daemons use in addition to the public ones. They may change
// without notice.
#pragma once

// Actors, HTTP, metrics, the platform client.
#include "runtime/event_actor.h"
#include "runtime/http.h"
#include "runtime/metrics.h"
#include "runtime/platform_client.h"

// Messages between the processes.
#include "rpc/rpc.h"

// Settings of the entry and the agent.
#include "config/settings.h"
