#include "soak/socket_owner.h"

#include <arpa/inet.h>
#include <array>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

#include <fmt/core.h>

namespace zinniabarrow::soak {

namespace {

// Closes the descriptor at the end of its scope.
struct open_descriptor
{
    int number = -1;
    explicit open_descriptor(int opened)
        : number(opened)
    { }
    ~open_descriptor()
    {
        if (number >= 0)
            close(number);
    }
    open_descriptor(const open_descriptor &) = delete;
    open_descriptor &operator=(const open_descriptor &) = delete;
};

struct diag_request
{
    nlmsghdr header{};
    inet_diag_req_v2 body{};
};

struct diag_answer
{
    nlmsghdr header;
    inet_diag_msg body;
};

diag_request requestAbout(const socket_address &localEnd, const socket_address &remoteEnd)
{
    diag_request request;
    request.header.nlmsg_len = sizeof request;
    request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.header.nlmsg_flags = NLM_F_REQUEST;
    request.body.sdiag_family = AF_INET;
    request.body.sdiag_protocol = IPPROTO_TCP;
    request.body.idiag_states = ~0U;
    auto &id = request.body.id;
    id.idiag_sport = htons(static_cast<std::uint16_t>(localEnd.port));
    id.idiag_dport = htons(static_cast<std::uint16_t>(remoteEnd.port));
    inet_pton(AF_INET, localEnd.address.c_str(), &id.idiag_src[0]);
    inet_pton(AF_INET, remoteEnd.address.c_str(), &id.idiag_dst[0]);
    id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return request;
}

// The number of the socket's file; none if the kernel does not know the connection. Asks for this
// socket alone: the table of all sockets, /proc/net/tcp, takes tens of milliseconds to read on a
// machine with many.
std::optional<std::uint32_t> inodeOf(const socket_address &localEnd,
                                     const socket_address &remoteEnd)
{
    const open_descriptor diag(socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG));
    if (diag.number < 0)
        throw std::runtime_error("socket owner: cannot ask the kernel about a socket");
    const auto request = requestAbout(localEnd, remoteEnd);
    if (send(diag.number, &request, sizeof request, 0) != sizeof request)
        throw std::runtime_error("socket owner: cannot ask the kernel about a socket");
    alignas(nlmsghdr) std::array<char, 4096> buffer;
    const auto bytes = recv(diag.number, buffer.data(), buffer.size(), 0);
    diag_answer answer{};
    if (bytes < static_cast<ssize_t>(sizeof answer))
        return std::nullopt;
    std::memcpy(&answer, buffer.data(), sizeof answer);
    if (answer.header.nlmsg_type != SOCK_DIAG_BY_FAMILY || answer.body.idiag_inode == 0)
        return std::nullopt;
    return answer.body.idiag_inode;
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
