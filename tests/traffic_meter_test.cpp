// Tests the count of a process's traffic by kind of message.
#include "app/traffic_meter.h"

#include <criterion/criterion.h>

#include "platform/store_wire.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

// Guards against a growth of traffic that nobody can attribute: an entry's link was full, and its
// metrics named no cause.
Test(traffic_meter, bytes_by_kind_of_message)
{
    section("targets name their kind", [] {
        const auto kindOf = [](const std::string &target) {
            return trafficKindOf(target, traffic_kind::Other);
        };
        cr_assert(kindOf("/v1/report") == traffic_kind::Report);
        cr_assert(kindOf("/v1/orders") == traffic_kind::Order);
        cr_assert(kindOf("/v1/jobs/a1") == traffic_kind::Job);
        cr_assert(kindOf(platform_wire::makeFeedRequest("jobs", 7, 1000).target)
                  == traffic_kind::Feed);
        cr_assert(kindOf(platform_wire::makeRowsRequest("jobs", "p00", "", "").target)
                  == traffic_kind::RowRead);
        cr_assert(kindOf(platform_wire::makeCommitRequest({}).target) == traffic_kind::Transaction);
        cr_assert(kindOf("/v1/store/-/rows-tx") == traffic_kind::StoreRelay);
        cr_assert(kindOf("/anything") == traffic_kind::Other);
    });

    section("published counters grow by what came since", [] {
        traffic_meter meter;
        metrics counters;
        const auto observer = meter.observer(traffic_kind::Caller);
        observer({"/v1/report", 100, 900});
        meter.publish(counters);
        observer({"/v1/report", 50, 600});
        observer({"/queue/a1", 30, 20});
        meter.publish(counters);
        cr_assert(counters.controlBytes("report", byte_direction::Sent) == 150);
        cr_assert(counters.controlBytes("report", byte_direction::Received) == 1500);
        cr_assert(counters.value("control_messages_total", "report") == 2);
        cr_assert(counters.controlBytes("caller", byte_direction::Sent) == 30);
        cr_assert(meter.largestKind() == traffic_kind::Report);
        cr_assert(meter.summary() == "report 1650, caller 50");
        cr_assert_eq(meter.sentBytes(), 180U);
        cr_assert_eq(meter.receivedBytes(), 1520U);
    });
}
