// Schema of the merged folder, embedded in the binary.
#pragma once

namespace zinniabarrow {

extern const char *const FolderSchemaText;

} // namespace zinniabarrow
