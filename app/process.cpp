#include "app/process.h"

#include <chrono>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include "base/errors.h"

namespace zinniabarrow {

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
