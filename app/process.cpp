#include "app/process.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

#include "base/errors.h"

namespace zinniabarrow {

namespace {

constexpr rlim_t WantedOpenFiles = 8192; // several times the connections of all listeners

} // namespace

stop_signals::stop_signals()
{
    sigemptyset(&m_set);
    sigaddset(&m_set, SIGTERM);
    sigaddset(&m_set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void stop_signals::wait()
{
    int number = 0;
    sigwait(&m_set, &number);
}

void stop_signals::request()
{
    kill(getpid(), SIGTERM);
}

void raiseOpenFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = std::max(limit.rlim_cur, std::min(limit.rlim_max, WantedOpenFiles));
    setrlimit(RLIMIT_NOFILE, &limit);
}

process_identity identityFor(const std::string &id)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto started = std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
    return {id, static_cast<std::uint64_t>(started)};
}

std::string readTextFile(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file)
        throw error(error_kind::BadSettings, fileName + ": cannot be read");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

socket_address addressOf(const config::listen_settings &listen)
{
    return {listen.address, listen.port};
}

} // namespace zinniabarrow
