#include "delivery/flow_messages.h"

#include "base/names.h"

namespace zinniabarrow::delivery {

namespace {

constexpr name_table<flow_counter, 14> CounterNames{{
        {flow_counter::Arrived, "arrived"},
        {flow_counter::Passed, "passed"},
        {flow_counter::Streamed, "streamed"},
        {flow_counter::StreamCut, "stream_cut"},
        {flow_counter::Replayed, "replayed"},
        {flow_counter::Refused, "refused"},
        {flow_counter::Retried, "retried"},
        {flow_counter::RetryDenied, "retry_denied"},
        {flow_counter::StaleEvent, "stale_event"},
        {flow_counter::DuplicateEvent, "doubled_event"},
        {flow_counter::LateOutcome, "late_outcome"},
        {flow_counter::ProceededUnclaimed, "unclaimed"},
        {flow_counter::ClaimResent, "claim_resent"},
        {flow_counter::ClaimSwept, "claim_swept"},
}};

} // namespace

attempt_outcome outcomeOf(error_kind failure)
{
    if (failure == error_kind::AnswerTooLarge)
        return attempt_too_large{};
    return attempt_disconnected{};
}

std::string_view nameOf(flow_counter counter)
{
    return nameOf(CounterNames, counter);
}

} // namespace zinniabarrow::delivery
