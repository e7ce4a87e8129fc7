// Helpers that all daemons and operators' commands share: version, exit codes, shutdown signals,
// limit of open files, process identity, reading of files.
#pragma once

#include <csignal>
#include <string>

#include "app/request_actor.h"
#include "config/settings.h"

namespace zinniabarrow {

constexpr const char *Version = "0.1.0"; // the same for every subcommand

// Exit codes, the same for every subcommand.
constexpr int ExitDone = 0;
constexpr int ExitFailed = 1; // the request was refused, or the command or daemon failed
constexpr int ExitUsage = 2;  // wrong arguments

// Blocks SIGTERM and SIGINT in this thread and all threads that it starts, so that only wait()
// receives them. Signals after the first one stay pending and do not cut a drain short. SIGPIPE is
// ignored.
class stop_signals
{
public:
    stop_signals();
    void wait();    // returns at the first signal
    void request(); // has the effect of a signal; may be called from any thread

private:
    sigset_t m_set;
};

// Raises the number of files that this process may have open, as far as the system allows. A common
// default, 1024, is below the number of connections that a daemon accepts. Not for code that waits
// with select(), which takes only descriptors below 1024.
void raiseOpenFileLimit();

// The identity of the process named `id`. Its incarnation is the current wall clock time in ms,
// so that a later start has a higher one.
process_identity identityFor(const std::string &id);

// Returns the file's content. Throws error BadSettings if it can't be read.
std::string readTextFile(const std::string &fileName);

// The address and port that a daemon listens on.
socket_address addressOf(const config::listen_settings &listen);

} // namespace zinniabarrow
