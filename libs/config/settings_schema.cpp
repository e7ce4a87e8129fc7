#include "config/settings_schema.h"

namespace zinniabarrow::config {

const char *const EntrySettingsSchemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "id": {
      "type": "string",
      "format": "name",
      "description": "name of this process, unique among all"
    },
    "region": {"type": "string", "format": "name", "description": "region it runs in"},
    "zone": {"type": "string", "format": "name", "description": "availability zone it runs in"},
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "address": {"type": "string", "format": "ip", "description": "IP number to listen on, for callers"},
        "port": {
          "type": "integer",
          "minimum": 0,
          "maximum": 65535,
          "description": "TCP port, for callers; 0 takes any free one"
        }
      },
      "required": ["address", "port"]
    },
    "rpc": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "address": {
          "type": "string",
          "format": "ip",
          "description": "IP number to listen on, for entries and agents"
        },
        "port": {
          "type": "integer",
          "minimum": 0,
          "maximum": 65535,
          "description": "TCP port, for entries and agents; 0 takes any free one"
        }
      },
      "required": ["address", "port"]
    },
    "peers": {
      "type": "array",
      "items": {"type": "string", "format": "ip:port", "description": ""},
      "default": [],
      "description": "rpc addresses of the other entries"
    },
    "platform": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "address": {
          "type": "string",
          "format": "ip:port",
          "description": "the platform's table and object store"
        },
        "timeout_ms": {
          "type": "integer",
          "default": 1000,
          "minimum": 10,
          "maximum": 60000,
          "description": "time for one read or write of the platform; then its outcome is unknown"
        }
      },
      "required": ["address"]
    },
    "shards": {
      "type": "integer",
      "default": 1,
      "minimum": 1,
      "maximum": 256,
      "description": "shards that the workers are split into; the same on all entries"
    },
    "lease_ms": {
      "type": "integer",
      "default": 1800000,
      "minimum": 1000,
      "maximum": 86400000,
      "description": "lease of an entry on a shard: the platform may be down this long before tasks stop"
    },
    "agent_lease_ms": {
      "type": "integer",
      "default": 15000,
      "minimum": 100,
      "maximum": 3600000,
      "description": "short lease given to agents without the table: a silent worker's tasks start elsewhere after it; keep it above 10000, so that tasks outlast the taking over of a dead owner's shard"
    },
    "clock_margin_ms": {
      "type": "integer",
      "default": 500,
      "minimum": 0,
      "maximum": 60000,
      "description": "added wherever another process's lease must be over"
    },
    "announce_silence_ms": {
      "type": "integer",
      "default": 3000,
      "minimum": 100,
      "maximum": 600000,
      "description": "silence after which an announcer counts as gone"
    },
    "max_body_bytes": {
      "type": "integer",
      "default": 1048576,
      "minimum": 1024,
      "maximum": 67108864,
      "description": "largest body of a caller's request"
    },
    "max_answer_bytes": {
      "type": "integer",
      "default": 67108864,
      "minimum": 65536,
      "maximum": 1099511627776,
      "description": "largest body of an answer; one above 65536 is streamed"
    },
    "max_connections": {
      "type": "integer",
      "default": 256,
      "minimum": 1,
      "maximum": 65536,
      "description": "callers' connections at once"
    },
    "max_connections_per_address": {
      "type": "integer",
      "default": 0,
      "minimum": 0,
      "maximum": 65536,
      "description": "connections at once from one caller's address; 0 sets no bound, for callers behind a balancer that hides their addresses"
    },
    "request_read_ms": {
      "type": "integer",
      "default": 10000,
      "minimum": 100,
      "maximum": 3600000,
      "description": "time from a request's first byte until it is whole; then its connection is closed"
    },
    "answer_write_ms": {
      "type": "integer",
      "default": 30000,
      "minimum": 100,
      "maximum": 3600000,
      "description": "time for a caller to take its whole answer; then its connection is closed"
    },
    "request_deadline_ms": {
      "type": "integer",
      "default": 10000,
      "minimum": 1,
      "maximum": 3600000,
      "description": "deadline of a request that names none"
    },
    "retry": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "share": {
          "type": "number",
          "default": 0.1,
          "minimum": 0,
          "maximum": 1,
          "description": "retries allowed for each first try"
        },
        "floor": {
          "type": "number",
          "default": 3,
          "minimum": 0,
          "maximum": 10000,
          "description": "retries a second that are always allowed"
        }
      }
    },
    "drain_ms": {
      "type": "integer",
      "default": 30000,
      "minimum": 0,
      "maximum": 3600000,
      "description": "longest wait for requests in flight at a planned stop"
    },
    "weights": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "tail_latency": {
          "type": "number",
          "default": 1,
          "minimum": 0,
          "maximum": 1000,
          "description": "weight of the services' tail latency"
        },
        "throughput": {
          "type": "number",
          "default": 0.5,
          "minimum": 0,
          "maximum": 1000,
          "description": "weight of batch throughput"
        },
        "evictions": {
          "type": "number",
          "default": 0.5,
          "minimum": 0,
          "maximum": 1000,
          "description": "weight of few evictions"
        }
      }
    },
    "config_poll_ms": {
      "type": "integer",
      "default": 1000,
      "minimum": 50,
      "maximum": 60000,
      "description": "time between two looks at the accepted generation; the folder is listed as often, or less where it is large"
    },
    "placement": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "tick_ms": {
          "type": "integer",
          "default": 100,
          "minimum": 10,
          "maximum": 60000,
          "description": "time between two rounds of placement"
        },
        "backlog_per_worker": {
          "type": "integer",
          "default": 4,
          "minimum": 0,
          "maximum": 64,
          "description": "batch tasks placed ahead on each worker, so that they can start while the platform is down; 0 places none"
        },
        "max_tasks_per_commit": {
          "type": "integer",
          "default": 64,
          "minimum": 1,
          "maximum": 1024,
          "description": "tasks written in one transaction of the table"
        },
        "quarantine_workers": {
          "type": "integer",
          "default": 3,
          "minimum": 1,
          "maximum": 1000,
          "description": "distinct workers a job fails on before it is held"
        },
        "set_aside_jobs": {
          "type": "integer",
          "default": 3,
          "minimum": 1,
          "maximum": 1000,
          "description": "distinct jobs that fail on a worker before it gets no more"
        },
        "evictions_per_minute": {
          "type": "integer",
          "default": 6,
          "minimum": 0,
          "maximum": 10000,
          "description": "evictions for interference by one entry"
        }
      }
    },
    "routing": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "policy": {
          "type": "string",
          "enum": ["two_choices", "round_robin", "least_known_load"],
          "default": "two_choices",
          "description": "how an upstream is chosen"
        },
        "spill": {
          "type": "number",
          "default": 1,
          "minimum": 0,
          "maximum": 1,
          "description": "share of the own zone's slots in use above which other zones are used"
        }
      }
    },
    "log_level": {
      "type": "string",
      "enum": ["debug", "info", "warning", "error"],
      "default": "info",
      "description": "lowest level that is logged"
    }
  },
  "required": ["id", "region", "zone", "listen", "rpc", "platform"]
})json";

const char *const AgentSettingsSchemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "id": {
      "type": "string",
      "format": "name",
      "description": "name of this process, unique among all"
    },
    "region": {"type": "string", "format": "name", "description": "region it runs in"},
    "zone": {"type": "string", "format": "name", "description": "availability zone it runs in"},
    "rack": {"type": "string", "format": "name", "description": "rack of its worker"},
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "address": {
          "type": "string",
          "format": "ip",
          "description": "IP number to listen on, for entries: requests and rpc"
        },
        "port": {
          "type": "integer",
          "minimum": 0,
          "maximum": 65535,
          "description": "TCP port, for entries: requests and rpc; 0 takes any free one"
        },
        "advertise": {
          "type": "string",
          "format": "ip:port",
          "description": "address told to the entries where they reach the agent by another one; when absent, the address it listens on"
        }
      },
      "required": ["address", "port"]
    },
    "entries": {
      "type": "array",
      "minItems": 1,
      "items": {"type": "string", "format": "ip:port", "description": ""},
      "description": "rpc addresses of the entries"
    },
    "upstream": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "address": {"type": "string", "format": "ip:port", "description": "the upstream beside the agent"},
        "service": {"type": "string", "format": "name", "description": "service that the upstream serves"},
        "slots": {
          "type": "integer",
          "default": 8,
          "minimum": 1,
          "maximum": 65536,
          "description": "requests that the upstream runs at once"
        },
        "connections": {
          "type": "integer",
          "default": 64,
          "minimum": 1,
          "maximum": 65536,
          "description": "connections that the upstream accepts at once"
        }
      },
      "required": ["address", "service"]
    },
    "worker": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "address": {"type": "string", "format": "ip:port", "description": "the worker's own interface"},
        "id": {
          "type": "string",
          "format": "name",
          "description": "name of the worker, unique among all"
        },
        "pool": {
          "type": "string",
          "format": "name",
          "description": "instance pool that the worker belongs to"
        },
        "size": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "millicores": {
              "type": "integer",
              "minimum": 1,
              "maximum": 10000000,
              "description": "processors of the worker, in thousandths"
            },
            "bytes": {
              "type": "integer",
              "minimum": 1,
              "maximum": 1125899906842624,
              "description": "memory of the worker"
            },
            "accelerators": {
              "type": "integer",
              "default": 0,
              "minimum": 0,
              "maximum": 1024,
              "description": "accelerators of the worker"
            }
          },
          "required": ["millicores", "bytes"]
        }
      },
      "required": ["address", "id", "pool", "size"]
    },
    "announce_ms": {
      "type": "integer",
      "default": 500,
      "minimum": 50,
      "maximum": 60000,
      "description": "time between two announcements"
    },
    "lease": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "clock_margin_ms": {
          "type": "integer",
          "default": 500,
          "minimum": 0,
          "maximum": 60000,
          "description": "a lease from the owner counts as over this long before its end"
        },
        "task_lease_ms": {
          "type": "integer",
          "default": 10000,
          "minimum": 100,
          "maximum": 3600000,
          "description": "lease given to the worker for each task; it outlasts a restart of the agent"
        },
        "report_ms": {
          "type": "integer",
          "default": 4000,
          "minimum": 50,
          "maximum": 3600000,
          "description": "time between two reports that the owner answers, at most a third of the lease it gives; without an answer renew_ms"
        },
        "renew_ms": {
          "type": "integer",
          "default": 1000,
          "minimum": 50,
          "maximum": 3600000,
          "description": "time between two renewals of the tasks' leases"
        }
      }
    },
    "queue_length": {
      "type": "integer",
      "default": 16,
      "minimum": 0,
      "maximum": 65536,
      "description": "requests that wait for a slot"
    },
    "max_body_bytes": {
      "type": "integer",
      "default": 1048576,
      "minimum": 1024,
      "maximum": 67108864,
      "description": "largest body of a request"
    },
    "max_answer_bytes": {
      "type": "integer",
      "default": 67108864,
      "minimum": 65536,
      "maximum": 1099511627776,
      "description": "largest body of an answer; one above 65536 is streamed"
    },
    "drain_ms": {
      "type": "integer",
      "default": 30000,
      "minimum": 0,
      "maximum": 3600000,
      "description": "longest wait for requests in flight at a planned stop"
    },
    "log_level": {
      "type": "string",
      "enum": ["debug", "info", "warning", "error"],
      "default": "info",
      "description": "lowest level that is logged"
    }
  },
  "required": ["id", "region", "zone", "rack", "listen", "entries", "upstream", "worker"]
})json";

} // namespace zinniabarrow::config
