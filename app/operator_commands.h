// Operators' commands: each works against any one entry and says what it could not reach.
//
//   check DIR            checks a folder offline
//   status               what the system does: configuration, upstreams, workers, tasks, refusals
//   put FILE, remove NAME   write to the folder; with --follow until it is in force everywhere
//   follow NAME          waits until a version of a file is in force everywhere
//   explain TASK         why a task waits, or where it is
//   drain AGENT          no new requests and tasks for that agent's upstream and worker
//   check-trace FILE     checks a trace of what workers did against the promises
#pragma once

#include <string>

namespace zinniabarrow {

// Is `name` one of the commands above?
bool isOperatorCommand(const std::string &name);

// `words[0]` is the command's name. Returns the exit code; throws TCLAP exceptions for wrong usage
// and error for what failed.
int runOperatorCommand(const std::string &name, int count, char **arguments);

} // namespace zinniabarrow
