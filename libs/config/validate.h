// Validates a configuration folder as a whole before any part of it is accepted: each file and the
// merged folder against their schemas, references to pools and teams, and sums of resources against
// pools and quotas.
#pragma once

#include <cstddef>
#include <vector>

#include "config/folder.h"
#include "config/json_text.h"

namespace zinniabarrow::config {

// Limits on the size of a folder.
struct folder_limits
{
    std::size_t maxFiles = 4096;            // number of files
    std::size_t maxFileBytes = 256 * 1024;  // of one file
    std::size_t maxBytes = 8 * 1024 * 1024; // of all files together
};

// Result of checkFolder.
struct folder_check
{
    std::vector<problem> problems; // empty: the folder may be accepted
    merged_folder merged;          // left empty if limits are exceeded or any file is invalid
    configuration mergedConfig;    // set only if the merged folder satisfies its schema
    bool isAcceptable() const { return problems.empty(); }
};

// Validates these files, in any order. Files for which `isFolderFile` is false are ignored.
folder_check checkFolder(const std::vector<folder_file> &files, const folder_limits &limits = {});

} // namespace zinniabarrow::config
