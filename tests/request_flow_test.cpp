// Decisions about a single request: when another attempt may start, and how the caller is answered.
#include <algorithm>

#include "delivery/request_flow.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::delivery;
using tests::section;

namespace {

constexpr time_point Start{milliseconds(1000)};

// A request without a key that has been forwarded to agent a1.
struct forwarded_request
{
    explicit forwarded_request(const std::string &method, bool isPermitted = true)
        : flow(
                "e1", {}, [isPermitted](error_kind) { return isPermitted; },
                [](const auto &) { return true; })
    {
        flow.handle(flow_tick{}, Start);
        flow.handle(request_arrived{"r", "tickets", method, "/hold", "", "", 1,
                                    Start + milliseconds(500)},
                    Start);
        flow.handle(upstream_chosen{"r", "a1"}, Start);
    }

    std::vector<flow_action> end(const attempt_outcome &outcome, std::uint32_t attempt = 1,
                                 milliseconds after = milliseconds(10))
    {
        return flow.handle(attempt_ended{"r", attempt, outcome}, Start + after);
    }

    request_flow flow;
};

template <typename Action>
const Action *find(const std::vector<flow_action> &actions)
{
    const auto found = std::find_if(actions.begin(), actions.end(), [](const auto &action) {
        return std::holds_alternative<Action>(action);
    });
    return found == actions.end() ? nullptr : &std::get<Action>(*found);
}

const refuse_request *refusalIn(const std::vector<flow_action> &actions)
{
    const auto *answer = find<answer_caller>(actions);
    return answer == nullptr ? nullptr : std::get_if<refuse_request>(&answer->answer);
}

bool isRefusedAs(const std::vector<flow_action> &actions, error_kind kind, executed ran)
{
    const auto *refusal = refusalIn(actions);
    return refusal != nullptr && refusal->kind == kind && refusal->executionState == ran;
}

bool retries(const std::string &method, const attempt_outcome &outcome)
{
    return find<choose_upstream>(forwarded_request(method).end(outcome)) != nullptr;
}

attempt_refused refusalOf(error_kind kind, executed ran, bool ended = true)
{
    return {kind, ran, ended, milliseconds(0)};
}

} // namespace

Test(request_flow, retries)
{
    section("a request that was certainly not executed is retried, whatever its method", [] {
        for (const auto *method : {"GET", "POST", "PUT"}) {
            check(retries(method, attempt_unreachable{}));
            check(retries(method, refusalOf(error_kind::QueueFull, executed::No)));
        }
    });
    section("the agent that refused is excluded from the retry", [] {
        const auto actions = forwarded_request("POST").end(attempt_unreachable{});
        check(find<choose_upstream>(actions)->excluded == std::vector<std::string>{"a1"});
    });
    section("a request that may have run is retried only if it is idempotent and has ended", [] {
        check(!retries("POST", attempt_disconnected{true}));
        check(!retries("GET", attempt_disconnected{false}));
        check(retries("GET", attempt_disconnected{true}));
        check(!retries("POST", refusalOf(error_kind::OutcomeUnknown, executed::Unknown)));
        check(!retries("PUT", attempt_timed_out{}));
        check(!retries("PUT", attempt_too_large{}));
    });
    section("a refusal of another kind is no proof that the request did not run", [] {
        const auto contradictory = refusalOf(error_kind::AnswerIncomplete, executed::No);
        check(!retries("POST", contradictory));
        check(isRefusedAs(forwarded_request("POST").end(contradictory), error_kind::OutcomeUnknown,
                          executed::Unknown));
    });
    section("no retry without budget, time or attempts left", [] {
        const auto denied = forwarded_request("POST", false).end(attempt_unreachable{});
        check(isRefusedAs(denied, error_kind::UpstreamUnreachable, executed::No));
        const auto late =
                forwarded_request("POST").end(attempt_unreachable{}, 1, milliseconds(490));
        check(isRefusedAs(late, error_kind::UpstreamUnreachable, executed::No));
        forwarded_request request("POST");
        for (std::uint32_t attempt = 1; attempt < 3; ++attempt) {
            check(find<choose_upstream>(request.end(attempt_unreachable{}, attempt)));
            request.flow.handle(upstream_chosen{"r", "a"}, Start);
        }
        check(isRefusedAs(request.end(attempt_unreachable{}, 3), error_kind::UpstreamUnreachable,
                          executed::No));
    });
}

// The connection of an idempotent request's first attempt broke, and all other agents refuse the
// request. The last refusal says "not run", but the first attempt may have been executed, so the
// caller must not be answered "not run".
Test(request_flow, refusal_after_attempt_that_may_have_run)
{
    forwarded_request request("PUT");
    check(find<choose_upstream>(request.end(attempt_disconnected{true})));
    request.flow.handle(upstream_chosen{"r", "a2"}, Start);
    check(find<choose_upstream>(request.end(refusalOf(error_kind::QueueFull, executed::No), 2)));
    const auto actions = request.flow.handle(no_upstream_available{"r"}, Start);
    check(isRefusedAs(actions, error_kind::OutcomeUnknown, executed::Unknown));
}

Test(request_flow, answers)
{
    section("a complete answer is passed on once", [] {
        forwarded_request request("POST");
        const auto actions = request.end(complete_answer{201, {}, 2, "ok"});
        check(std::get<pass_answer>(find<answer_caller>(actions)->answer).status == 201);
        check(!find<answer_caller>(request.end(complete_answer{201, {}, 2, "ok"})));
        check(request.flow.inFlight() == 0);
    });
    section("an unknown outcome is reported at once", [] {
        check(isRefusedAs(forwarded_request("POST").end(attempt_disconnected{}),
                          error_kind::OutcomeUnknown, executed::Unknown));
        check(isRefusedAs(forwarded_request("GET").end(attempt_disconnected{}),
                          error_kind::AnswerIncomplete, executed::Unknown));
    });
    section("the answer of an earlier attempt is ignored", [] {
        forwarded_request request("POST");
        request.end(attempt_unreachable{});
        request.flow.handle(upstream_chosen{"r", "a2"}, Start);
        check(!find<answer_caller>(request.end(complete_answer{200, {}, 0, ""}, 1)));
        check(find<answer_caller>(request.end(complete_answer{200, {}, 0, ""}, 2)));
    });
    section("at the deadline the caller is answered and the attempt is cancelled", [] {
        forwarded_request request("POST");
        check(request.flow.nextWake() == Start + milliseconds(500));
        const auto actions = request.flow.handle(flow_tick{}, Start + milliseconds(500));
        check(isRefusedAs(actions, error_kind::AnswerLate, executed::Unknown));
        check(find<cancel_attempt>(actions)->agentId == "a1");
    });
    section("a longer Retry-After of the agent is kept", [] {
        auto refusal = refusalOf(error_kind::QueueFull, executed::No);
        refusal.retryAfter = milliseconds(7000);
        const auto actions = forwarded_request("POST", false).end(refusal);
        check(refusalIn(actions)->retryAfter == milliseconds(7000));
    });
    section("an entry that was paused does not forward after the deadline", [] {
        request_flow flow(
                "e1", {}, [](error_kind) { return true; }, [](const auto &) { return 1; });
        flow.handle(request_arrived{"r", "s", "POST", "/", "", "", 1, Start + milliseconds(5)},
                    Start);
        const auto actions = flow.handle(upstream_chosen{"r", "a1"}, Start + seconds(4));
        check(!find<forward_request>(actions));
        check(isRefusedAs(actions, error_kind::DeadlinePassed, executed::No));
    });
}

// Planned shutdown: a request in flight gets its complete answer, a new one is refused as not run,
// and the entry reports the end of the drain only afterwards.
Test(request_flow, drain)
{
    forwarded_request request("POST");
    check(!find<flow_drained>(request.flow.handle(flow_drain_started{}, Start)));
    const auto refused = request.flow.handle(
            request_arrived{"n", "tickets", "GET", "/", "", "", 1, Start + seconds(1)}, Start);
    check(isRefusedAs(refused, error_kind::Draining, executed::No));
    const auto last = request.end(complete_answer{200, {}, 0, ""});
    check(find<answer_caller>(last));
    check(find<flow_drained>(last));
    check(!find<flow_drained>(request.flow.handle(flow_drain_started{}, Start)));
}

Test(request_flow, limits)
{
    section("requests above maxInFlight are refused as not run", [] {
        flow_settings settings;
        settings.maxInFlight = 1;
        request_flow flow(
                "e1", settings, [](error_kind) { return true; }, [](const auto &) { return true; });
        const request_arrived first{"r1", "s", "GET", "/", "", "", 1, Start + seconds(1)};
        auto second = first;
        second.id = "r2";
        check(!find<answer_caller>(flow.handle(first, Start)));
        check(isRefusedAs(flow.handle(second, Start), error_kind::Overloaded, executed::No));
    });
    section("an eraDuration shorter than a request is refused", [] {
        flow_settings settings;
        settings.claims.eraDuration = milliseconds(1000);
        try {
            const request_flow flow("e1", settings, {}, {});
            check(!"accepted");
        } catch (const error &problem) {
            check(problem.kind() == error_kind::BadSettings);
        }
    });
}

// The caller has the first bytes of a large answer when the connection to the upstream breaks. No
// other attempt and no second answer follow, and a drain waits for the end of the body.
Test(request_flow, streamed_answers)
{
    const auto startAnswer = [](forwarded_request &request, std::uint32_t attempt = 1,
                                milliseconds after = milliseconds(10)) {
        return request.flow.handle(answer_started{"r", attempt, 200}, Start + after);
    };
    section("the head is passed on once, and the request stays in flight", [&] {
        forwarded_request request("GET");
        const auto actions = startAnswer(request);
        check(find<answer_caller>(actions) != nullptr && refusalIn(actions) == nullptr);
        check(find<answer_caller>(startAnswer(request)) == nullptr);
        check(request.flow.inFlight() == 1);
    });
    section("no outcome causes another attempt or answer", [&] {
        for (const attempt_outcome &outcome :
             {attempt_outcome(attempt_disconnected{true}), attempt_outcome(attempt_unreachable{}),
              attempt_outcome(refusalOf(error_kind::QueueFull, executed::No)),
              attempt_outcome(complete_answer{})}) {
            forwarded_request request("GET");
            startAnswer(request);
            const auto actions = request.end(outcome);
            check(find<choose_upstream>(actions) == nullptr);
            check(find<answer_caller>(actions) == nullptr);
            check(request.flow.inFlight() == 0);
        }
    });
    section("an answer that starts after the deadline is refused as late", [&] {
        forwarded_request request("POST");
        const auto actions = startAnswer(request, 1, milliseconds(501));
        check(isRefusedAs(actions, error_kind::AnswerLate, executed::Unknown));
    });
    section("the answer of an earlier attempt is not passed on", [&] {
        forwarded_request request("POST");
        request.end(attempt_unreachable{});
        request.flow.handle(upstream_chosen{"r", "a2"}, Start + milliseconds(20));
        check(find<answer_caller>(startAnswer(request, 1, milliseconds(30))) == nullptr);
        check(find<answer_caller>(startAnswer(request, 2, milliseconds(30))) != nullptr);
    });
    section("a drain waits for the end of the body for a limited time", [&] {
        forwarded_request request("GET");
        startAnswer(request);
        check(find<flow_drained>(
                      request.flow.handle(flow_drain_started{}, Start + milliseconds(20)))
              == nullptr);
        check(find<flow_drained>(request.end(complete_answer{}, 1, milliseconds(30))) != nullptr);
        forwarded_request unfinished("GET");
        startAnswer(unfinished);
        unfinished.flow.handle(flow_drain_started{}, Start + milliseconds(20));
        check(find<flow_drained>(unfinished.flow.handle(flow_tick{}, Start + seconds(60)))
              != nullptr);
    });
}
