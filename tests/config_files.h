// Configuration files that several tests share, and helpers to read files.
#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "config/folder.h"

namespace zinniabarrow::tests {

using namespace zinniabarrow::config;

inline std::string fileText(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// All files of the folder at `path`, in any order.
inline std::vector<folder_file> folderAt(const std::string &path)
{
    std::vector<folder_file> files;
    for (const auto &entry : std::filesystem::directory_iterator(path))
        files.push_back({entry.path().filename().string(), fileText(entry.path())});
    return files;
}

// A file with one pool and one team that services and jobs can refer to.
inline std::string baseFile()
{
    return R"({
  "teams": {"gate": {"quota": {"millicores": 160000, "bytes": 600000}}},
  "pools": {"rink": {"zones": ["kartli-a"], "workers": 11,
                     "worker": {"millicores": 16000, "bytes": 60000}}}
})";
}

} // namespace zinniabarrow::tests
