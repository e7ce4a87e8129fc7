// Tests of body_ring, the buffer between the thread that receives a large body and the thread that
// forwards it.
#include <atomic>
#include <thread>

#include "runtime/body_stream.h"
#include "section.h"

using namespace zinniabarrow;
using tests::section;

namespace {

constexpr std::size_t PartBytes = 16 * 1024;

time_point nearDeadline()
{
    return monotonic_clock::now() + milliseconds(50);
}

time_point farDeadline()
{
    return monotonic_clock::now() + seconds(60);
}

body_end pushParts(body_ring &ring, std::size_t parts)
{
    const std::string part(PartBytes, 'x');
    for (std::size_t index = 0; index < parts; ++index) {
        if (const auto stopped = ring.push(part.data(), part.size()))
            return stopped;
    }
    return std::nullopt;
}

} // namespace

// The time that the receiver waited for a slow caller is reported separately from the rest of the
// answer time.
Test(body_ring, receiver_wait_for_slow_reader)
{
    constexpr std::size_t PartsInRing = StreamRingBytes / PartBytes;
    const auto receiverWaitFor = [](std::size_t parts) {
        body_ring ring(farDeadline());
        std::optional<duration> reportedWait;
        ring.observeEnd([&](body_end, duration waited) { reportedWait = waited; });
        std::thread receiver([&] {
            pushParts(ring, parts);
            ring.finish(std::nullopt);
        });
        std::this_thread::sleep_for(milliseconds(200));
        while (!ring.takePart().empty()) { }
        receiver.join();
        require(reportedWait.has_value());
        return *reportedWait;
    };
    section("a body that fits in the ring causes no wait",
            [&] { check(receiverWaitFor(PartsInRing) == duration(0)); });
    section("a larger body waits for the reader",
            [&] { check(receiverWaitFor(PartsInRing + 1) > duration(0)); });
}

// A large answer is read more slowly than it arrives. The reader must get every byte, and the
// receiver must never buffer more than the ring holds.
Test(body_ring, bounded)
{
    constexpr std::size_t Parts = 1000;
    body_ring ring(farDeadline());
    std::atomic<std::size_t> pushed{0};
    std::thread receiver([&] {
        const std::string part(PartBytes, 'x');
        for (std::size_t index = 0; index < Parts; ++index) {
            ring.push(part.data(), part.size());
            pushed += PartBytes;
        }
        ring.finish(std::nullopt);
    });
    section("the first part is forwarded before the end",
            [&] { check(!ring.waitForEndOrBytes(4 * PartBytes)); });
    std::size_t taken = 0;
    for (auto part = ring.takePart(); !part.empty(); part = ring.takePart()) {
        check(part.size() <= StreamPartBytes);
        check(pushed <= taken + StreamRingBytes + 2 * StreamPartBytes);
        taken += part.size();
    }
    receiver.join();
    check(taken == Parts * PartBytes);
    check(!ring.end());
}

// A caller stops reading. The receiver must wait for space until the deadline only, so that the
// connection and the upstream's slot become free then.
Test(body_ring, deadline_passed)
{
    section("no reader: the receiver stops at the deadline", [] {
        body_ring ring(nearDeadline());
        bool interrupted = false;
        check(ring.attachReceiver([&] { interrupted = true; }));
        check(pushParts(ring, StreamRingBytes / PartBytes + 1) == error_kind::AnswerLate);
        check(interrupted);
    });
    section("no bytes arrive: the receiver is interrupted in its read", [] {
        body_ring ring(nearDeadline());
        std::atomic<bool> interrupted{false};
        ring.attachReceiver([&] { interrupted = true; });
        check(ring.waitForEndOrBytes(PartBytes));
        check(interrupted);
        check(ring.end() == error_kind::AnswerLate);
    });
    section("a receiver that starts too late sends nothing", [] {
        body_ring ring(nearDeadline());
        ring.waitForEndOrBytes(PartBytes);
        check(!ring.attachReceiver([] {}));
    });
}

// A caller disconnects, or the upstream's connection breaks. The other side must learn of it
// exactly once.
Test(body_ring, early_end)
{
    section("the reader stops early: the receiver stops", [] {
        const auto ring = std::make_shared<body_ring>(farDeadline());
        int interrupts = 0;
        ring->attachReceiver([&] { ++interrupts; });
        pushParts(*ring, 1);
        std::make_unique<body_reader>(ring).reset();
        check(interrupts == 1);
        check(pushParts(*ring, 1) == error_kind::OutcomeUnknown);
    });
    section("after detachReceiver() there is no interrupt", [] {
        const auto ring = std::make_shared<body_ring>(farDeadline());
        int interrupts = 0;
        ring->attachReceiver([&] { ++interrupts; });
        ring->detachReceiver();
        std::make_unique<body_reader>(ring).reset();
        check(interrupts == 0);
    });
    section("an incomplete body is reported after its bytes", [] {
        body_ring ring(farDeadline());
        pushParts(ring, 1);
        ring.finish(error_kind::AnswerIncomplete);
        check(ring.takePart().size() == PartBytes);
        check(ring.takePart().empty());
        check(ring.end() == error_kind::AnswerIncomplete);
    });
    section("the end is reported once, also to an observer that is registered after it", [] {
        for (const bool endsFirst : {false, true}) {
            body_ring ring(farDeadline());
            int reportedEnds = 0;
            const auto observe = [&] {
                ring.observeEnd([&](body_end end, duration) { reportedEnds += end ? 100 : 1; });
            };
            if (!endsFirst)
                observe();
            ring.finish(std::nullopt);
            if (endsFirst)
                observe();
            check(reportedEnds == 1);
        }
    });
}

// The reader takes the last declared byte and finishes before the receiving thread has
// reported the end. The request ran and its answer was complete; if its outcome were reported as
// unknown, the caller would have to ask the service whether its purchase went through.
Test(body_ring, reader_finishes_before_receiver)
{
    const auto endAfter = [](std::size_t partsTaken) {
        body_ring ring(farDeadline());
        ring.setDeclaredLength(2 * PartBytes);
        body_end reportedEnd = error_kind::NoUpstream;
        ring.observeEnd([&](body_end end, duration) { reportedEnd = end; });
        const std::string part(PartBytes, 'x');
        for (std::size_t index = 0; index < 2; ++index) {
            ring.push(part.data(), part.size());
            if (index < partsTaken)
                ring.takePart();
        }
        ring.abandon();
        ring.finish(std::nullopt);
        return reportedEnd;
    };
    section("all declared bytes taken: the end is the one that the receiver reports",
            [&] { check(!endAfter(2).has_value()); });
    section("fewer bytes taken: the reader abandoned the body",
            [&] { check(endAfter(1) == error_kind::OutcomeUnknown); });
}
