// Streams the body of an answer from the thread that receives it to the thread that forwards it.
//
//   body_ring      bounded byte buffer; when it is full, the receiver waits until the deadline
//   body_reader    the forwarding side; destroying it early drops the upstream connection
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

// Documented memory limit of one streamed answer in one process: the ring, and one part that is
// being sent. Kernel socket buffers are not included.
constexpr std::size_t StreamRingBytes = 256 * 1024;
constexpr std::size_t StreamPartBytes = 64 * 1024;

// How receiving ended: nullopt when the body is complete, OutcomeUnknown when the reader stopped
// reading early, else another error.
using body_end = std::optional<error_kind>;

// Thread-safe. One thread receives, one forwards.
class body_ring
{
public:
    // Reports the end of the body. `waited` is the total time for which the receiver waited for
    // space because the reader was slower.
    using end_observer = std::function<void(body_end, duration waited)>;

    explicit body_ring(time_point deadline);

    // --- Called by the receiving thread.
    // Registers `interrupt`, which must wake a receiver that is blocked in a read. It is not called
    // after detachReceiver(). Returns false when the answer is no longer wanted; the receiver must
    // then send no request.
    bool attachReceiver(std::function<void()> interrupt);
    // Sets the Content-Length of the head, nullopt if it has none; to be called before push(). A
    // reader that stops after taking this many bytes has not stopped early, see abandon().
    void setDeclaredLength(std::optional<std::uint64_t> bytes);
    // Appends bytes; waits for space until the deadline. Returns nullopt when the bytes were
    // appended, an error when the deadline has passed or the answer is no longer wanted; the
    // receiver must then stop.
    body_end push(const char *data, std::size_t size);
    void detachReceiver();
    void finish(body_end end); // receiving has ended; the body is complete if `end` is nullopt

    // --- Called by the forwarding thread.
    // Waits until receiving has ended or more than `bytes` bytes have arrived. At the deadline it
    // interrupts the receiver and ends the body with AnswerLate. Returns true if receiving failed,
    // or if the body is complete and has at most `bytes` bytes; false if the body is to be
    // streamed.
    bool waitForEndOrBytes(std::size_t bytes);
    // Returns the next bytes in order, at most StreamPartBytes; empty at the end of the body, see
    // end().
    std::string takePart();
    // How receiving ended; only valid after takePart() returned empty or waitForEndOrBytes()
    // returned true.
    body_end end() const;
    void abandon(); // the reader stops; discards the rest, interrupts an unfinished receiver
    // `observer` is called once: by finish() on the receiving thread, or by observeEnd() itself if
    // finish() was called before. abandon() does not call it.
    void observeEnd(end_observer observer);

private:
    void failLocked(error_kind kind);

    const time_point m_deadline;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::string> m_chunks;
    std::size_t m_bufferedBytes = 0; // bytes in m_chunks
    std::uint64_t m_takenBytes = 0;  // bytes that the reader has taken
    std::optional<std::uint64_t> m_declaredBytes;
    std::size_t m_wakeAboveBytes = 0; // push() wakes the reader above this fill level
    duration m_receiverWait{};        // time the receiver spent waiting for space
    bool m_finished = false;          // set by finish()
    bool m_stopped = false;           // abandoned, or deadline passed: the receiver must stop
    body_end m_end;                   // the first reason is kept
    std::function<void()> m_interrupt;
    end_observer m_observer;
};

// Held by the answer that is being forwarded (http_response::stream).
class body_reader
{
public:
    explicit body_reader(std::shared_ptr<body_ring> ring);
    ~body_reader(); // abandons the unread rest of the body
    body_reader(const body_reader &) = delete;
    body_reader &operator=(const body_reader &) = delete;

    std::string takePart() { return m_ring->takePart(); }
    body_end end() const { return m_ring->end(); }
    void observeEnd(body_ring::end_observer observer);

private:
    std::shared_ptr<body_ring> m_ring;
};

} // namespace zinniabarrow
