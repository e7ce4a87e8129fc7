// Optional decisions of an entry about the jobs that it owns. Each is off unless the entry's
// settings switch it on (app/job_settings.h).
#pragma once

namespace zinniabarrow::jobs {

struct scheduling_features
{
    // Judges slack and run times by how long runs have really taken, not by estimates alone.
    bool learnsRunTimes = false;
    // Lets a task wait for a better worker for as long as the wait pays, not for a fixed time.
    bool weighsWaits = false;
    // Sends agents the slack of best-effort runs, so that those with most of it yield first.
    bool sharesSlack = false;
    // Runs copies of slow tasks of steps whose callers permit it (step_spec::isSpeculative).
    bool copiesSlowTasks = false;
    // Prefers workers on which more tasks of the same size fit: what other entries place there at
    // the same time then leaves enough capacity for this one.
    bool weighsRoom = false;
    // Quarantines a worker by the failures of all entries' runs there, not of the own ones alone.
    bool sharesFailures = false;
};

} // namespace zinniabarrow::jobs
