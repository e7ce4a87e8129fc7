#include "config/folder_schema.h"

namespace zinniabarrow::config {

const char *const FolderSchemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "services": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "team": {
            "type": "string",
            "format": "name",
            "description": "team whose quota it counts against"
          },
          "pool": {"type": "string", "format": "name", "description": "instance pool that runs it"},
          "replicas": {
            "type": "integer",
            "default": 1,
            "minimum": 0,
            "maximum": 100000,
            "description": "replicas that run at once"
          },
          "size": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
              "millicores": {
                "type": "integer",
                "minimum": 1,
                "maximum": 1000000000,
                "description": "processors of one replica, in thousandths"
              },
              "bytes": {
                "type": "integer",
                "minimum": 1,
                "maximum": 9007199254740992,
                "description": "memory of one replica"
              },
              "accelerators": {
                "type": "integer",
                "default": 0,
                "minimum": 0,
                "maximum": 1000000,
                "description": "accelerators of one replica"
              }
            },
            "required": ["millicores", "bytes"]
          },
          "port": {
            "type": "integer",
            "default": 0,
            "minimum": 0,
            "maximum": 65535,
            "description": "port that a replica listens on; 0: given at its start"
          },
          "latency_target_ms": {
            "type": "integer",
            "default": 100,
            "minimum": 1,
            "maximum": 3600000,
            "description": "99th percentile of its answers that is aimed at"
          },
          "priority": {
            "type": "string",
            "enum": ["urgent", "normal", "low"],
            "default": "normal",
            "description": "who goes first"
          },
          "failover": {
            "type": "string",
            "enum": ["lease", "proof"],
            "default": "lease",
            "description": "when a silent worker's task starts elsewhere: after its leases, or only on proof that it has ended"
          },
          "class": {
            "type": "string",
            "maxLength": 63,
            "default": "",
            "description": "tasks whose interference is measured together; empty: its own name"
          }
        },
        "required": ["team", "pool", "size"]
      }
    },
    "jobs": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "team": {
            "type": "string",
            "format": "name",
            "description": "team whose quota it counts against"
          },
          "pool": {"type": "string", "format": "name", "description": "instance pool that runs it"},
          "tasks": {
            "type": "integer",
            "default": 1,
            "minimum": 1,
            "maximum": 1000000,
            "description": "tasks that run once each"
          },
          "size": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
              "millicores": {
                "type": "integer",
                "minimum": 1,
                "maximum": 1000000000,
                "description": "processors of one task, in thousandths"
              },
              "bytes": {
                "type": "integer",
                "minimum": 1,
                "maximum": 9007199254740992,
                "description": "memory of one task"
              },
              "accelerators": {
                "type": "integer",
                "default": 0,
                "minimum": 0,
                "maximum": 1000000,
                "description": "accelerators of one task"
              }
            },
            "required": ["millicores", "bytes"]
          },
          "run_time_estimate_ms": {
            "type": "integer",
            "default": 60000,
            "minimum": 1,
            "maximum": 2592000000,
            "description": "estimated run time of one task"
          },
          "checkpointable": {
            "type": "boolean",
            "default": false,
            "description": "an evicted task resumes where it was"
          },
          "priority": {
            "type": "string",
            "enum": ["urgent", "normal", "low"],
            "default": "normal",
            "description": "who goes first; urgent work starts first"
          },
          "failover": {
            "type": "string",
            "enum": ["lease", "proof"],
            "default": "lease",
            "description": "when a silent worker's task starts elsewhere: after its leases, or only on proof that it has ended"
          },
          "class": {
            "type": "string",
            "maxLength": 63,
            "default": "",
            "description": "tasks whose interference is measured together; empty: its own name"
          }
        },
        "required": ["team", "pool", "size"]
      }
    },
    "pools": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "zones": {
            "type": "array",
            "minItems": 1,
            "items": {"type": "string", "format": "name", "description": ""},
            "description": "availability zones of its workers"
          },
          "workers": {
            "type": "integer",
            "minimum": 1,
            "maximum": 100000,
            "description": "workers that it has"
          },
          "worker": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
              "millicores": {
                "type": "integer",
                "minimum": 1,
                "maximum": 1000000000,
                "description": "processors of its largest worker, in thousandths"
              },
              "bytes": {
                "type": "integer",
                "minimum": 1,
                "maximum": 9007199254740992,
                "description": "memory of its largest worker"
              },
              "accelerators": {
                "type": "integer",
                "default": 0,
                "minimum": 0,
                "maximum": 1000000,
                "description": "accelerators of its largest worker"
              }
            },
            "required": ["millicores", "bytes"]
          }
        },
        "required": ["zones", "workers", "worker"]
      }
    },
    "teams": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "quota": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
              "millicores": {
                "type": "integer",
                "minimum": 0,
                "maximum": 1000000000,
                "description": "processors of all its services and running tasks together, in thousandths"
              },
              "bytes": {
                "type": "integer",
                "minimum": 0,
                "maximum": 9007199254740992,
                "description": "memory of all its services and running tasks together"
              },
              "accelerators": {
                "type": "integer",
                "default": 0,
                "minimum": 0,
                "maximum": 1000000,
                "description": "accelerators of all its services and running tasks together"
              }
            },
            "required": ["millicores", "bytes"]
          },
          "weight": {
            "type": "number",
            "default": 1,
            "minimum": 0,
            "maximum": 1000,
            "description": "share of what quotas leave over"
          }
        },
        "required": ["quota"]
      }
    }
  }
})json";

} // namespace zinniabarrow::config
