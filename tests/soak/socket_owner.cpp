#include "soak/socket_owner.h"

#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

#include <fmt/core.h>

namespace zinniabarrow::soak {

namespace {

// As the kernel's table shows it: the four bytes in the machine's order, and the port.
std::string inTable(const socket_address &address)
{
    in_addr bytes{};
    inet_pton(AF_INET, address.address.c_str(), &bytes);
    return fmt::format("{:08X}:{:04X}", bytes.s_addr, address.port);
}

// The number of the socket's file; empty if the table lacks the connection.
std::string inodeOf(const socket_address &localEnd, const socket_address &remoteEnd)
{
    constexpr int InodeColumn = 9;
    const auto local = inTable(localEnd);
    const auto remote = inTable(remoteEnd);
    std::ifstream table("/proc/net/tcp");
    for (std::string line; std::getline(table, line);) {
        std::istringstream columns(line);
        std::string slot;
        std::string from;
        std::string to;
        columns >> slot >> from >> to;
        if (from != local || to != remote)
            continue;
        std::string column;
        for (int index = 3; index <= InodeColumn; ++index)
            columns >> column;
        return column;
    }
    return "";
}

bool hasOpen(pid_t process, const std::string &file)
{
    std::error_code problem;
    for (std::filesystem::directory_iterator
                 descriptors(fmt::format("/proc/{}/fd", process), problem),
         end;
         !problem && descriptors != end; descriptors.increment(problem)) {
        std::error_code isGone;
        if (std::filesystem::read_symlink(descriptors->path(), isGone) == file)
            return true;
    }
    return false;
}

} // namespace

std::optional<pid_t> socketOwner(const socket_address &localEnd, const socket_address &remoteEnd,
                                 const std::vector<pid_t> &candidates)
{
    const auto inode = inodeOf(localEnd, remoteEnd);
    if (inode.empty())
        return std::nullopt;
    const auto file = fmt::format("socket:[{}]", inode);
    for (const auto process : candidates) {
        if (hasOpen(process, file))
            return process;
    }
    return std::nullopt;
}

} // namespace zinniabarrow::soak
