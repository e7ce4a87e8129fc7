// Tests the count of calls of the platform's store by purpose and outcome.
#include "app/store_meter.h"

#include <criterion/criterion.h>

#include "app/job_tables.h"
#include "platform/store_wire.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

row_transaction jobWrite(std::int64_t version, std::vector<row_name> others)
{
    row_transaction write;
    write.expected.push_back({jobRowName("a1"), version});
    write.set.push_back({jobRowName("a1"), "{}", 0, false});
    for (auto &name : others)
        write.set.push_back({std::move(name), "{}", 0, false});
    return write;
}

call_result answered(int status)
{
    http_response answer;
    answer.status = status;
    return answer;
}

} // namespace

// Guards against calls that nobody can attribute: tens of thousands in a day, and no count said
// whether leases, job rows or feeds made them.
Test(store_meter, calls_by_purpose_and_outcome)
{
    section("a write's rows name its purpose", [] {
        cr_assert(purposeOf(jobWrite(0, {summaryRowName("a1"), payloadRowName("a1")}))
                  == store_purpose::JobAccept);
        cr_assert(purposeOf(jobWrite(7, {summaryRowName("a1")})) == store_purpose::JobState);
        cr_assert(purposeOf(jobWrite(7, {})) == store_purpose::JobProgress);
        cr_assert(purposeOf(jobWrite(7, {summaryRowName("a1"), cancelRowName("a1")}))
                  == store_purpose::Cancel);
        cr_assert(purposeOf({{}, {}, {jobRowName("a1")}}) == store_purpose::JobRemoval);
        cr_assert(purposeOf({{}, {{leaseRowName("w1"), "{}", 0, false}}, {}})
                  == store_purpose::Lease);
        cr_assert(purposeOf({{}, {{entryRowName("e1"), "{}", 0, false}}, {}})
                  == store_purpose::Registration);
    });

    section("a read's table names its purpose", [] {
        cr_assert(purposeOfRead(JobsTable) == store_purpose::JobRead);
        cr_assert(purposeOfRead(SummariesTable) == store_purpose::Summary);
        cr_assert(purposeOfRead(CancelsTable) == store_purpose::Cancel);
        cr_assert(purposeOfRead(platform_wire::ConfigurationRowName.table)
                  == store_purpose::Configuration);
        cr_assert(purposeOfRead("another") == store_purpose::Other);
    });

    section("an outcome tells what the store did", [] {
        cr_assert(storeOutcomeOf(answered(200)) == store_outcome::Done);
        cr_assert(storeOutcomeOf(answered(412)) == store_outcome::Conflict);
        cr_assert(storeOutcomeOf(answered(503)) == store_outcome::TurnedAway);
        cr_assert(storeOutcomeOf(answered(502)) == store_outcome::NoAnswer);
        cr_assert(storeOutcomeOf(answered(400)) == store_outcome::NotReadable);
        cr_assert(storeOutcomeOf(call_failure::TimedOut) == store_outcome::NoAnswer);
        cr_assert(storeOutcomeOf(call_failure::NotConnected) == store_outcome::TurnedAway);
    });

    section("published counters grow by what came since", [] {
        store_meter meter;
        metrics counters;
        meter.record(store_purpose::Lease, store_outcome::Done, 100, 50);
        meter.publish(counters);
        meter.record(store_purpose::Lease, store_outcome::Done, 100, 50);
        meter.record(store_purpose::Lease, store_outcome::NoAnswer, 100, 0);
        meter.record(store_purpose::Summary, store_outcome::Done, 10, 900);
        meter.publish(counters);
        meter.publish(counters);
        cr_assert(counters.storeCalls("lease", "done") == 2);
        cr_assert(counters.storeCalls("lease", "no_answer") == 1);
        cr_assert(counters.storeBytes("lease", byte_direction::Sent) == 300);
        cr_assert(counters.storeBytes("summary", byte_direction::Received) == 900);
        cr_assert(meter.summary() == "summary 1/0 910, lease 3/1 400");
    });
}
