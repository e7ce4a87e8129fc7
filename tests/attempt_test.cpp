// attempt_guard, which keeps the agent from starting an attempt twice, and answer_check, which
// proves that an answer is complete.
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
    return refusal && refusal->executionState == executed::Unknown && !refusal->hasEnded;
}

bool isNotRun(const std::optional<guard_refusal> &refusal)
{
    return refusal && refusal->executionState == executed::No && refusal->hasEnded;
}

} // namespace

// An attempt reaches the agent twice, late, or after its cancel. The request must not be executed
// twice, and the agent may say "not run" only of attempts that never start on it.
Test(attempt_guard, duplicates)
{
    section("a duplicate never starts, whatever happened to the first copy", [] {
        attempt_guard guard(1, {});
        check(!guard.admitAttempt(attemptOf(1), Start));
        check(isUnknown(guard.admitAttempt(attemptOf(1), Start)));
        check(!guard.startAttempt("r", 1, Start));
        check(isUnknown(guard.startAttempt("r", 1, Start)));
        check(isUnknown(guard.admitAttempt(attemptOf(1), Start)));
        guard.recordEnd("r", 1, executed::Yes, Start);
        check(isUnknown(guard.admitAttempt(attemptOf(1), Start)));
    });
    section("a newer attempt is admitted only after the end of the previous one", [] {
        attempt_guard guard(1, {});
        check(!guard.admitAttempt(attemptOf(1), Start));
        check(isUnknown(guard.admitAttempt(attemptOf(2), Start)));
        guard.recordEnd("r", 1, executed::No, Start);
        check(!guard.admitAttempt(attemptOf(2), Start));
        check(isUnknown(guard.admitAttempt(attemptOf(1), Start)));
    });
    section("after an attempt that was executed, only an idempotent one is admitted", [] {
        for (const bool idempotent : {false, true}) {
            attempt_guard guard(1, {});
            guard.admitAttempt(attemptOf(1), Start);
            guard.startAttempt("r", 1, Start);
            guard.recordEnd("r", 1, executed::Yes, Start);
            check(guard.admitAttempt(attemptOf(2, idempotent), Start).has_value() != idempotent);
        }
    });
    section("an attempt for an earlier incarnation may have been started by that one", [] {
        attempt_guard guard(2, {});
        check(isUnknown(guard.admitAttempt(attemptOf(1), Start)));
    });
}

Test(attempt_guard, late_and_cancelled_attempts)
{
    section("after its deadline an attempt is refused as not run, on arrival and before the start",
            [] {
                attempt_guard guard(1, {});
                check(isNotRun(guard.admitAttempt(attemptOf(1), Start + seconds(1))));
                check(isNotRun(guard.admitAttempt(attemptOf(1), Start)));
                check(!guard.admitAttempt({"q", 1, 1, false, Start + milliseconds(500)}, Start));
                check(isNotRun(guard.startAttempt("q", 1, Start + milliseconds(500))));
            });
    section("an attempt cancelled before its start never starts, even if the cancel came first",
            [] {
                attempt_guard guard(1, {});
                check(guard.cancelAttempt("r", 1, Start));
                check(isNotRun(guard.admitAttempt(attemptOf(1), Start)));
                check(!guard.admitAttempt({"q", 1, 1, false, Start + seconds(1)}, Start));
                check(guard.cancelAttempt("q", 1, Start));
                check(isNotRun(guard.startAttempt("q", 1, Start)));
            });
    section("a running attempt is not reported as cancelled", [] {
        attempt_guard guard(1, {});
        guard.admitAttempt(attemptOf(1), Start);
        guard.startAttempt("r", 1, Start);
        check(!guard.cancelAttempt("r", 1, Start));
    });
}

Test(attempt_guard, remembered_requests)
{
    attempt_guard guard(1, {100, milliseconds(90'000)});
    for (int i = 0; i < 100; ++i)
        guard.admitAttempt({std::to_string(i), 1, 1, false, Start + seconds(1)}, Start);
    section("at the limit new requests are refused and all records are kept", [&] {
        check(isUnknown(guard.admitAttempt({"new", 1, 1, false, Start + seconds(1)}, Start)));
        check(isUnknown(guard.admitAttempt({"0", 1, 1, false, Start + seconds(1)}, Start)));
    });
    section("ended requests are removed after retentionTime, running ones are kept", [&] {
        guard.startAttempt("0", 1, Start);
        for (int i = 1; i < 100; ++i)
            guard.recordEnd(std::to_string(i), 1, executed::No, Start);
        check(!guard.admitAttempt({"new", 1, 1, false, Start + seconds(100)}, Start + seconds(91)));
        check(guard.rememberedRequests() == 2);
        check(isUnknown(guard.admitAttempt({"0", 1, 1, false, Start + seconds(100)}, Start)));
    });
}

// An upstream dies in the middle of an answer, or answers late on a connection that was reused. The
// caller must get an error, never an incomplete answer or that of another caller.
Test(answer_check, complete_answers)
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
    section("a complete answer has all declared bytes, or the last chunk", [&] {
        check(!run({200, "r", Length, 10, 50}, 10, false));
        check(!run({200, "r", Chunked, 0, 50}, 10, true));
        check(!run({204, "r", UntilClose, 0, 50}, 0, false));
        check(!run({200, "r", Length, 10, 50}, 0, false, "HEAD"));
    });
    section("an answer that breaks off or is longer than declared is incomplete", [&] {
        check(run({200, "r", Length, 10, 50}, 9, false) == error_kind::AnswerIncomplete);
        check(run({200, "r", Length, 10, 50}, 11, false) == error_kind::AnswerIncomplete);
        check(run({200, "r", Chunked, 0, 50}, 10, false) == error_kind::AnswerIncomplete);
        check(run({204, "r", Length, 0, 50}, 1, false) == error_kind::AnswerIncomplete);
    });
    section("an answer whose end can't be proved is incomplete", [&] {
        check(run({200, "r", UntilClose, 0, 50}, 10, true) == error_kind::AnswerIncomplete);
        check(run({200, "r", Conflicting, 10, 50}, 10, true) == error_kind::AnswerIncomplete);
        check(run({100, "r", Length, 0, 50}, 0, true) == error_kind::AnswerIncomplete);
        check(answer_check("r", "GET", {}).checkEnd(true) == error_kind::AnswerIncomplete);
    });
    section("an answer to another request leaves the outcome unknown", [&] {
        check(run({200, "q", Length, 1, 50}, 1, true) == error_kind::OutcomeUnknown);
    });
    section("head and body of an answer are limited in size", [&] {
        check(run({200, "r", Length, 1001, 50}, 0, true) == error_kind::AnswerTooLarge);
        check(run({200, "r", Chunked, 0, 50}, 1001, true) == error_kind::AnswerTooLarge);
        check(run({200, "r", Length, 1, 101}, 1, true) == error_kind::AnswerTooLarge);
    });
    section("a failed check becomes the outcome of the attempt", [] {
        check(std::holds_alternative<attempt_too_large>(outcomeOf(error_kind::AnswerTooLarge)));
        check(std::holds_alternative<attempt_disconnected>(outcomeOf(error_kind::OutcomeUnknown)));
    });
}
