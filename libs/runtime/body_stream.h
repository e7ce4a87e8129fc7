// The body of an answer while it arrives, between the thread that receives it and the one that
// sends it on.
//
//   body_ring      a bounded ring of bytes: a full one slows the receiver, up to the deadline
//   body_reader    the sender's end; letting go of it before the end drops the connection behind it
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "base/errors.h"
#include "base/time.h"

namespace zinniabarrow {

// The stated bound on memory of one streamed answer in one process: the ring and one part that is
// being sent. The kernel's socket buffers come on top.
constexpr std::size_t StreamRingBytes = 256 * 1024;
constexpr std::size_t StreamPartBytes = 64 * 1024;

// How the receiving ended; nothing when the body is whole, OutcomeUnknown when the reader let go.
using body_end = std::optional<error_kind>;

class body_ring
{
public:
    // `waited`: for how long the receiver had no room, because the reader was slower.
    using end_observer = std::function<void(body_end, duration waited)>;

    explicit body_ring(time_point deadline);

    // --- The receiver's side. `interrupt` makes a receiver that waits for bytes come back; it is
    // never called after detach(). False: nobody wants the answer any more.
    bool attachReceiver(std::function<void()> interrupt);
    void setDeclaredLength(
            std::optional<std::uint64_t> bytes); // as the head declares them; before push()
    // Waits for room until the deadline. An error: the body is late or not wanted any more.
    body_end push(const char *data, std::size_t size);
    void detachReceiver(); // no interrupt from here on
    void finish(body_end end);

    // --- The sender's side.
    // Waits until the body has ended (true) or more than `bytes` have come (false); at the deadline
    // the receiver is interrupted and the body has ended as late.
    bool waitForEndOrBytes(std::size_t bytes);
    // The next bytes in order, at most StreamPartBytes; empty at the end, see end().
    std::string takePart();
    body_end end() const; // only once take() came back empty, or waitForEnd() was true
    void abandon();       // nobody reads any more
    // Called once, when the receiving has ended, on the thread that ends it.
    void observeEnd(end_observer observer);

private:
    void failLocked(error_kind kind);

    const time_point m_deadline;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::string> m_chunks;
    std::size_t m_bufferedBytes = 0; // in m_chunks
    std::uint64_t m_takenBytes = 0;  // by the reader
    std::optional<std::uint64_t> m_declaredBytes;
    std::size_t m_wakeAboveBytes = 0; // the reader waits for more than these
    duration m_receiverWait{};        // by the receiver, for room
    bool m_finished = false;          // by the receiver
    bool m_stopped = false;           // abandoned or late: the receiver has to end
    body_end m_end;                   // the first reason stays
    std::function<void()> m_interrupt;
    end_observer m_observer;
};

class body_reader
{
public:
    explicit body_reader(std::shared_ptr<body_ring> ring);
    ~body_reader(); // an unread rest is abandoned
    body_reader(const body_reader &) = delete;
    body_reader &operator=(const body_reader &) = delete;

    std::string takePart() { return m_ring->takePart(); }
    body_end end() const { return m_ring->end(); }
    void observeEnd(body_ring::end_observer observer);

private:
    std::shared_ptr<body_ring> m_ring;
};

} // namespace zinniabarrow
