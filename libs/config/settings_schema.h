// JSON schemas of the settings files of entries and agents, embedded in the binary.
#pragma once

namespace zinniabarrow::config {

extern const char *const EntrySettingsSchemaText;
extern const char *const AgentSettingsSchemaText;

} // namespace zinniabarrow::config
