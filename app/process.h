// What both daemon roles share: signals, identity, start-up and the order of a stop.
#pragma once

#include <csignal>
#include <string>

#include "app/request_duty.h"
#include "config/settings.h"

namespace zinniabarrow {

constexpr const char *Version = "0.1.0"; // of every subcommand

// Exit codes of every subcommand.
constexpr int ExitDone = 0;
constexpr int ExitFailed = 1; // refused or failed
constexpr int ExitUsage = 2;

// Blocks SIGTERM and SIGINT for this thread and all it starts, so that only waitForStop sees them.
// A second signal waits unseen: it never hurries a drain.
class stop_signals
{
public:
    stop_signals();
    void wait();    // returns at the first of them
    void request(); // the same as a signal, from any thread of this process

private:
    sigset_t m_set;
};

// A new incarnation of the process named `id`: the wall clock in milliseconds at its start.
process_identity identityFor(const std::string &id);

// The whole file; throws error BadSettings.
std::string readTextFile(const std::string &fileName);

socket_address addressOf(const config::listen_settings &listen);

} // namespace zinniabarrow
