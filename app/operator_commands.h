// Operators' commands, called from main(). Each one, except check and check-trace, is given the
// address of any one entry, and prints which other processes it could not reach.
//
//   check DIR            checks a folder offline
//   status               shows configuration, upstreams, workers, tasks and refusals
//   put FILE, remove NAME   write to the folder; with --follow wait until it is in force everywhere
//   follow NAME          waits until a version of a file is in force everywhere
//   explain TASK         says why a task waits, or where it is
//   drain AGENT          stops new requests and tasks for the agent's upstream and worker
//   check-trace FILE     checks a trace of the workers' task events for violations
#pragma once

#include <string>

namespace zinniabarrow {

// Whether `name` is one of the commands above.
bool isOperatorCommand(const std::string &name);

// `arguments[0]` is the command's name. Returns the exit code. Throws TCLAP exceptions for wrong
// usage and `error` for failures.
int runOperatorCommand(const std::string &name, int count, char **arguments);

} // namespace zinniabarrow
