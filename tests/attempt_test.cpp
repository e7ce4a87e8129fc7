// The agent's memory of attempts, and the proof that an answer is whole.
#include "base/answer_check.h"
#include "delivery/attempt_guard.h"
#include "delivery/flow_messages.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::delivery;
using tests::section;

namespace {

constexpr time_point Start{seconds(1000)};

incoming_attempt attemptOf(std::uint32_t attempt, bool idempotent = false)
{
    return {"r", attempt, 1, idempotent, Start + milliseconds(500)};
}

bool isUnknown(const std::optional<guard_refusal> &refusal)
{
    return refusal && refusal->ran == executed::Unknown && !refusal->hasEnded;
}

bool isNotRun(const std::optional<guard_refusal> &refusal)
{
    return refusal && refusal->ran == executed::No && refusal->hasEnded;
}

} // namespace

// A forward reaches the agent twice, or late, or after its cancel. The caller must not be charged
// twice, and "not run" may be said only of what never starts here.
Test(attempt_guard, copies)
{
    section("a second copy never starts, whatever became of the first", [] {
        attempt_guard guard(1, {});
        check(!guard.admitAttempt(attemptOf(1), Start));
        check(isUnknown(guard.admitAttempt(attemptOf(1), Start)));
        check(!guard.startAttempt("r", 1, Start));
        check(isUnknown(guard.startAttempt("r", 1, Start)));
        check(isUnknown(guard.admitAttempt(attemptOf(1), Start)));
        guard.recordEnd("r", 1, executed::Yes, Start);
        check(isUnknown(guard.admitAttempt(attemptOf(1), Start)));
    });
    section("a newer attempt waits for the end of the one before", [] {
        attempt_guard guard(1, {});
        check(!guard.admitAttempt(attemptOf(1), Start));
        check(isUnknown(guard.admitAttempt(attemptOf(2), Start)));
        guard.recordEnd("r", 1, executed::No, Start);
        check(!guard.admitAttempt(attemptOf(2), Start));
        check(isUnknown(guard.admitAttempt(attemptOf(1), Start)));
    });
    section("after one that ran only an idempotent one may follow", [] {
        for (const bool idempotent : {false, true}) {
            attempt_guard guard(1, {});
            guard.admitAttempt(attemptOf(1), Start);
            guard.startAttempt("r", 1, Start);
            guard.recordEnd("r", 1, executed::Yes, Start);
            check(guard.admitAttempt(attemptOf(2, idempotent), Start).has_value() != idempotent);
        }
    });
    section("meant for the agent before this one: that one may have started it", [] {
        attempt_guard guard(2, {});
        check(isUnknown(guard.admitAttempt(attemptOf(1), Start)));
    });
}

Test(attempt_guard, late)
{
    section("past its deadline it is refused as not run, on arrival and before the start", [] {
        attempt_guard guard(1, {});
        check(isNotRun(guard.admitAttempt(attemptOf(1), Start + seconds(1))));
        check(isNotRun(guard.admitAttempt(attemptOf(1), Start)));
        check(!guard.admitAttempt({"q", 1, 1, false, Start + milliseconds(500)}, Start));
        check(isNotRun(guard.startAttempt("q", 1, Start + milliseconds(500))));
    });
    section("cancelled before the start it never starts, also when the cancel came first", [] {
        attempt_guard guard(1, {});
        check(guard.cancelAttempt("r", 1, Start));
        check(isNotRun(guard.admitAttempt(attemptOf(1), Start)));
        check(!guard.admitAttempt({"q", 1, 1, false, Start + seconds(1)}, Start));
        check(guard.cancelAttempt("q", 1, Start));
        check(isNotRun(guard.startAttempt("q", 1, Start)));
    });
    section("a running one is not called cancelled", [] {
        attempt_guard guard(1, {});
        guard.admitAttempt(attemptOf(1), Start);
        guard.startAttempt("r", 1, Start);
        check(!guard.cancelAttempt("r", 1, Start));
    });
}

Test(attempt_guard, memory)
{
    attempt_guard guard(1, {100, milliseconds(90'000)});
    for (int i = 0; i < 100; ++i)
        guard.admitAttempt({std::to_string(i), 1, 1, false, Start + seconds(1)}, Start);
    section("full: new ones are refused and nothing is forgotten", [&] {
        check(isUnknown(guard.admitAttempt({"new", 1, 1, false, Start + seconds(1)}, Start)));
        check(isUnknown(guard.admitAttempt({"0", 1, 1, false, Start + seconds(1)}, Start)));
    });
    section("ended ones are forgotten after their time, running ones are not", [&] {
        guard.startAttempt("0", 1, Start);
        for (int i = 1; i < 100; ++i)
            guard.recordEnd(std::to_string(i), 1, executed::No, Start);
        check(!guard.admitAttempt({"new", 1, 1, false, Start + seconds(100)}, Start + seconds(91)));
        check(guard.rememberedRequests() == 2);
        check(isUnknown(guard.admitAttempt({"0", 1, 1, false, Start + seconds(100)}, Start)));
    });
}

// An upstream dies in the middle of an answer, or answers late on a connection that has been used
// again. The caller must get an error, never a short answer and never another caller's.
Test(answer_check, whole_answers)
{
    const auto run = [](answer_head head, std::uint64_t bytes, bool lastChunk,
                        const std::string &method = "GET") {
        answer_check answer("r", method, {100, 1000});
        answer.checkHead(head);
        if (bytes > 0)
            answer.checkBody(bytes);
        return answer.checkEnd(lastChunk);
    };
    using enum body_framing;
    section("are those with all bytes declared, or with the last chunk", [&] {
        check(!run({200, "r", Length, 10, 50}, 10, false));
        check(!run({200, "r", Chunked, 0, 50}, 10, true));
        check(!run({204, "r", UntilClose, 0, 50}, 0, false));
        check(!run({200, "r", Length, 10, 50}, 0, false, "HEAD"));
    });
    section("are not those that are cut, or too long for what they declare", [&] {
        check(run({200, "r", Length, 10, 50}, 9, false) == error_kind::AnswerIncomplete);
        check(run({200, "r", Length, 10, 50}, 11, false) == error_kind::AnswerIncomplete);
        check(run({200, "r", Chunked, 0, 50}, 10, false) == error_kind::AnswerIncomplete);
        check(run({204, "r", Length, 0, 50}, 1, false) == error_kind::AnswerIncomplete);
    });
    section("are not those whose end can't be proved", [&] {
        check(run({200, "r", UntilClose, 0, 50}, 10, true) == error_kind::AnswerIncomplete);
        check(run({200, "r", Conflicting, 10, 50}, 10, true) == error_kind::AnswerIncomplete);
        check(run({100, "r", Length, 0, 50}, 0, true) == error_kind::AnswerIncomplete);
        check(answer_check("r", "GET", {}).checkEnd(true) == error_kind::AnswerIncomplete);
    });
    section("are not those of another request", [&] {
        check(run({200, "q", Length, 1, 50}, 1, true) == error_kind::OutcomeUnknown);
    });
    section("are bounded", [&] {
        check(run({200, "r", Length, 1001, 50}, 0, true) == error_kind::AnswerTooLarge);
        check(run({200, "r", Chunked, 0, 50}, 1001, true) == error_kind::AnswerTooLarge);
        check(run({200, "r", Length, 1, 101}, 1, true) == error_kind::AnswerTooLarge);
    });
    section("become the outcome of their attempt", [] {
        check(std::holds_alternative<attempt_too_large>(outcomeOf(error_kind::AnswerTooLarge)));
        check(std::holds_alternative<attempt_cut>(outcomeOf(error_kind::OutcomeUnknown)));
    });
}
