// Settings of the two daemons that serve jobs, as the platform fills them into our template.
#pragma once

#include <string>

#include "base/time.h"
#include "runtime/http.h"

namespace zinniabarrow {

struct job_entry_settings
{
    std::string id;                  // name of the machine
    std::string zone;                // availability zone
    socket_address callersAddress;   // where callers come in
    socket_address readinessAddress; // where the balancer asks for readiness
    socket_address internalAddress;  // for the system's own processes, and metrics
    std::string storeAddress;        // "ip:port" of the platform's store
};

struct job_agent_settings
{
    std::string id;
    std::string zone;
    socket_address announcementsAddress; // where the worker announces itself
    socket_address internalAddress;
    std::string workerAddress; // "ip:port" of the worker
    std::string service;       // of the worker
    std::string storeAddress;
    milliseconds stopTimeout{900}; // a run that is told to stop has ended by then
};

// Throw error BadSettings that names the file and the member. Unknown members are ignored: the
// platform may fill in more than this version knows.
job_entry_settings jobEntrySettingsFrom(const std::string &file, const std::string &text);
job_agent_settings jobAgentSettingsFrom(const std::string &file, const std::string &text);

} // namespace zinniabarrow
