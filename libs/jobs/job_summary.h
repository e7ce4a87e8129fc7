// The part of a job's state that all entries follow. It suffices to answer callers, to count
// waiting jobs and to find jobs without an owner. An owner stores a job's summary in a row of its
// own, in the transaction that writes the record, and only when it has changed. So the other
// entries read a few short rows for each job, whatever its number of tasks.
#pragma once

#include <string>

#include "jobs/model.h"

namespace zinniabarrow::jobs {

struct job_summary
{
    owner_id owner;
    job_state state = job_state::Queued;
    std::string queue;
    bool needsOwner = true; // as job_record::needsOwner()
    bool hasBegun = false;  // a worker has started one of its tasks

    friend bool operator==(const job_summary &, const job_summary &) = default;
};

job_summary summaryOf(const job_record &record);

// Text form in the platform's store. `summaryFrom` throws error BadRequest when the text is
// malformed or of an unknown version.
std::string toText(const job_summary &summary);
job_summary summaryFrom(const std::string &text);

} // namespace zinniabarrow::jobs
