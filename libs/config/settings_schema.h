// JSON schemas of the settings files of entries and agents, embedded in the binary; see
// `entrySettingsSchema` and `agentSettingsSchema` for the parsed ones.
#pragma once

namespace zinniabarrow::config {

extern const char *const EntrySettingsSchemaText;
extern const char *const AgentSettingsSchemaText;

} // namespace zinniabarrow::config
