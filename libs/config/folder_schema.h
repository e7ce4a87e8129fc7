// JSON schema of the merged configuration folder, embedded in the binary; see `folderSchema` for
// the compiled one.
#pragma once

namespace zinniabarrow::config {

extern const char *const FolderSchemaText;

} // namespace zinniabarrow::config
