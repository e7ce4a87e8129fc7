// Validation of the whole folder before any of it is accepted: each file against its schema, the
// merged whole against its own, references, and sums against pools and quotas.
#pragma once

#include <cstddef>
#include <vector>

#include "config/folder.h"
#include "config/json_text.h"

namespace zinniabarrow::config {

struct folder_limits
{
    std::size_t maxFiles = 4096;            //
    std::size_t maxFileBytes = 256 * 1024;  // of one file
    std::size_t maxBytes = 8 * 1024 * 1024; // of all files together
};

struct folder_check
{
    std::vector<problem> problems; // none: the folder may be accepted
    merged_folder merged;          // empty when a file is broken by itself
    configuration mergedConfig;    // only where there are no problems
    bool isAcceptable() const { return problems.empty(); }
};

// Files that do not belong to the folder (`isFolderFile`) are ignored. `files` may come in any
// order.
folder_check checkFolder(const std::vector<folder_file> &files, const folder_limits &limits = {});

} // namespace zinniabarrow::config
