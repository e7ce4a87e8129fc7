#include "soak/socket_owner.h"

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <filesystem>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

#include <fmt/core.h>

namespace zinniabarrow::soak {

namespace {

struct diagnosis_request
{
    nlmsghdr header{};
    inet_diag_req_v2 socket{};
};

std::uint32_t inNetworkOrder(const std::string &address)
{
    in_addr bytes{};
    inet_pton(AF_INET, address.c_str(), &bytes);
    return bytes.s_addr;
}

diagnosis_request requestFor(const socket_address &localEnd, const socket_address &remoteEnd)
{
    diagnosis_request request;
    request.header.nlmsg_len = sizeof request;
    request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.header.nlmsg_flags = NLM_F_REQUEST;
    request.socket.sdiag_family = AF_INET;
    request.socket.sdiag_protocol = IPPROTO_TCP;
    auto &ends = request.socket.id;
    ends.idiag_src[0] = inNetworkOrder(localEnd.address);
    ends.idiag_sport = htons(static_cast<std::uint16_t>(localEnd.port));
    ends.idiag_dst[0] = inNetworkOrder(remoteEnd.address);
    ends.idiag_dport = htons(static_cast<std::uint16_t>(remoteEnd.port));
    ends.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    ends.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return request;
}

// The number of the socket's file; none if there is no such socket, or no process has it open. Asks
// for this socket alone: the table of all sockets takes long to read on a busy machine.
std::optional<std::uint32_t> inodeOf(const socket_address &localEnd,
                                     const socket_address &remoteEnd)
{
    constexpr std::size_t AnswerBytes = 4096;
    const int kernel = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (kernel < 0)
        return std::nullopt;
    const auto request = requestFor(localEnd, remoteEnd);
    std::array<char, AnswerBytes> answer{};
    const bool isSent = send(kernel, &request, sizeof request, 0) == sizeof request;
    const auto receivedBytes = isSent ? recv(kernel, answer.data(), answer.size(), 0) : -1;
    close(kernel);
    nlmsghdr header{};
    inet_diag_msg found{};
    if (receivedBytes < static_cast<ssize_t>(sizeof header + sizeof found))
        return std::nullopt;
    std::memcpy(&header, answer.data(), sizeof header);
    std::memcpy(&found, answer.data() + sizeof header, sizeof found);
    if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY || found.idiag_inode == 0)
        return std::nullopt;
    return found.idiag_inode;
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
    if (!inode)
        return std::nullopt;
    const auto file = fmt::format("socket:[{}]", *inode);
    for (const auto process : candidates) {
        if (hasOpen(process, file))
            return process;
    }
    return std::nullopt;
}

} // namespace zinniabarrow::soak
