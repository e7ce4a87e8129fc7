// zinniabarrow: one binary with a subcommand for each daemon and for each operators' command.
#include <cstdio>
#include <cstdlib>
#include <string>
#include <system_error>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "app/agent.h"
#include "app/entry.h"
#include "app/job_agent.h"
#include "app/job_entry.h"
#include "app/operator_commands.h"
#include "app/process.h"
#include "base/errors.h"

using namespace zinniabarrow;

namespace {

constexpr const char *Help = R"(usage: zinniabarrow COMMAND [options]

  entry --settings FILE   forward requests, schedule tasks, accept configuration
  agent --settings FILE   admit requests to one upstream, run its worker's tasks
  job-entry --settings FILE   accept callers' jobs and place their tasks
  job-agent --settings FILE   run tasks of callers' jobs on one worker

for operators (--entry ip:port is the rpc address of any entry):
  check DIR                               check a folder offline
  status --entry A                        show the state of the system
  put --entry A [--follow] FILE           write a file of the folder
  remove --entry A [--follow] NAME        remove a file of the folder
  follow --entry A --file-version N NAME  wait until a version is in force everywhere
  explain --entry A TASK                  say why a task waits, or where it is
  drain --entry A AGENT                   stop new work for its upstream and worker
  check-trace FILE                        check a trace of task events for violations

every command has --help; status, put, remove, follow and explain have --json
exit codes: 0 done, 1 refused or failed, 2 usage
)";

void printHelp(FILE *to)
{
    fmt::print(to, "zinniabarrow {}\n{}", Version, Help);
}

std::string settingsFile(const std::string &role, int count, char **arguments)
{
    TCLAP::CmdLine command("zinniabarrow " + role, ' ', Version);
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> file("s", "settings", "JSON settings of the process", true, "",
                                      "FILE", command);
    command.parse(count, arguments);
    return file.getValue();
}

int dispatch(const std::string &name, int count, char **arguments)
{
    if (name == "entry") {
        const auto file = settingsFile(name, count, arguments);
        return runEntry(config::entrySettingsFrom(file, readTextFile(file)));
    }
    if (name == "agent") {
        const auto file = settingsFile(name, count, arguments);
        return runAgent(config::agentSettingsFrom(file, readTextFile(file)));
    }
    if (name == "job-entry") {
        raiseOpenFileLimit();
        const auto file = settingsFile(name, count, arguments);
        return runJobEntry(jobEntrySettingsFrom(file, readTextFile(file)));
    }
    if (name == "job-agent") {
        raiseOpenFileLimit();
        const auto file = settingsFile(name, count, arguments);
        return runJobAgent(jobAgentSettingsFrom(file, readTextFile(file)));
    }
    if (isOperatorCommand(name))
        return runOperatorCommand(name, count, arguments);
    if (name == "--help" || name == "help") {
        printHelp(stdout);
        return ExitDone;
    }
    if (name == "--version") {
        fmt::print("zinniabarrow {}\n", Version);
        return ExitDone;
    }
    fmt::print(stderr, "unknown command '{}'\n", name);
    printHelp(stderr);
    return ExitUsage;
}

} // namespace

int main(int count, char **arguments)
{
    if (count < 2) {
        printHelp(stderr);
        return ExitUsage;
    }
    try {
        return dispatch(arguments[1], count - 1, arguments + 1);
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus() == 0 ? ExitDone : ExitUsage;
    } catch (const TCLAP::ArgException &problem) {
        fmt::print(stderr, "{} {}\n", problem.error(), problem.argId());
        return ExitUsage;
    } catch (const error &problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return ExitFailed;
    } catch (const std::system_error &problem) {
        // Destructors are skipped: threads that were already started may wait for others that were
        // never created.
        fmt::print(stderr, "the system could not provide a resource: {}\n", problem.what());
        std::_Exit(ExitFailed);
    }
}
