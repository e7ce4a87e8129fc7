// What zinniabarrow's own daemons use beside the public parts. It may change without notice.
#pragma once

// Threads and rings, HTTP, metrics, the platform's client.
#include "runtime/event_actor.h"
#include "runtime/http.h"
#include "runtime/metrics.h"
#include "runtime/platform_client.h"

// Messages between the processes.
#include "rpc/rpc.h"

// Settings of the two roles.
#include "config/settings.h"
