#include "runtime/body_stream.h"

#include <utility>

namespace zinniabarrow {

body_ring::body_ring(time_point deadline)
    : m_deadline(deadline)
{ }

bool body_ring::attachReceiver(std::function<void()> interrupt)
{
    const std::lock_guard lock(m_mutex);
    m_interrupt = std::move(interrupt);
    return !m_stopped;
}

void body_ring::setDeclaredLength(std::optional<std::uint64_t> bytes)
{
    const std::lock_guard lock(m_mutex);
    m_declaredBytes = bytes;
}

void body_ring::detachReceiver()
{
    const std::lock_guard lock(m_mutex);
    m_interrupt = nullptr;
}

body_end body_ring::push(const char *data, std::size_t size)
{
    std::unique_lock lock(m_mutex);
    const auto hasRoom = [&] {
        return m_stopped || m_bufferedBytes == 0 || m_bufferedBytes + size <= StreamRingBytes;
    };
    // A caller that reads slowly slows the upstream down. A caller that does not read at all must
    // not occupy one of the upstream's slots for longer than the request's deadline.
    if (!hasRoom()) {
        const auto waitBegan = monotonic_clock::now();
        if (!m_changed.wait_until(lock, m_deadline, hasRoom))
            failLocked(error_kind::AnswerLate);
        m_receiverWait += std::chrono::duration_cast<duration>(monotonic_clock::now() - waitBegan);
    }
    if (m_stopped)
        return m_end;
    m_bufferedBytes += size;
    m_chunks.emplace_back(data, size);
    // Parts of a small answer do not wake the reader one by one; the end of the answer wakes it
    // once.
    const bool shouldWakeReader = m_bufferedBytes > m_wakeAboveBytes;
    lock.unlock();
    if (shouldWakeReader)
        m_changed.notify_all();
    return std::nullopt;
}

void body_ring::finish(body_end end)
{
    end_observer observer;
    duration receiverWait{};
    {
        const std::lock_guard lock(m_mutex);
        m_finished = true;
        if (!m_end)
            m_end = end;
        end = m_end;
        receiverWait = m_receiverWait;
        observer = std::exchange(m_observer, nullptr);
    }
    m_changed.notify_all();
    if (observer)
        observer(end, receiverWait);
}

bool body_ring::waitForEndOrBytes(std::size_t bytes)
{
    std::unique_lock lock(m_mutex);
    m_wakeAboveBytes = bytes;
    const auto isDecided = [&] { return m_finished || m_stopped || m_bufferedBytes > bytes; };
    if (!m_changed.wait_until(lock, m_deadline, isDecided))
        failLocked(error_kind::AnswerLate);
    if (!m_finished && !m_stopped)
        return false;
    // A complete body larger than `bytes` is streamed like an incomplete one.
    return m_end || m_bufferedBytes <= bytes;
}

std::string body_ring::takePart()
{
    std::unique_lock lock(m_mutex);
    m_wakeAboveBytes = 0;
    const auto hasBytesOrEnd = [&] { return m_finished || m_stopped || m_bufferedBytes > 0; };
    if (!m_changed.wait_until(lock, m_deadline, hasBytesOrEnd))
        failLocked(error_kind::AnswerLate);
    std::string part;
    const auto fitsInPart = [&] {
        return part.empty() || part.size() + m_chunks.front().size() <= StreamPartBytes;
    };
    while (!m_chunks.empty() && fitsInPart()) {
        part += m_chunks.front();
        m_chunks.pop_front();
    }
    m_bufferedBytes -= part.size();
    m_takenBytes += part.size();
    m_changed.notify_all();
    return part;
}

body_end body_ring::end() const
{
    const std::lock_guard lock(m_mutex);
    return m_end;
}

void body_ring::abandon()
{
    const std::lock_guard lock(m_mutex);
    // A reader that has taken every declared byte is finished, often a moment before the receiver
    // has noticed that the body is complete. If this counted as abandoning the body, a complete
    // answer would be reported as OutcomeUnknown; the receiver reports how the answer ended.
    const bool isWholeBodyTaken = m_declaredBytes && m_takenBytes == *m_declaredBytes;
    if (!m_finished && !isWholeBodyTaken)
        failLocked(error_kind::OutcomeUnknown);
    m_chunks.clear();
    m_bufferedBytes = 0;
}

void body_ring::observeEnd(end_observer observer)
{
    std::unique_lock lock(m_mutex);
    if (!m_finished) {
        m_observer = std::move(observer);
        return;
    }
    const auto end = m_end;
    const auto receiverWait = m_receiverWait;
    lock.unlock();
    observer(end, receiverWait);
}

// Without the interrupt, the receiver would stay blocked in its read and keep an unused connection
// until the peer sends something or closes.
void body_ring::failLocked(error_kind kind)
{
    if (!m_end)
        m_end = kind;
    m_stopped = true;
    if (m_interrupt)
        m_interrupt();
    m_changed.notify_all();
}

body_reader::body_reader(std::shared_ptr<body_ring> ring)
    : m_ring(std::move(ring))
{ }

body_reader::~body_reader()
{
    m_ring->abandon();
}

void body_reader::observeEnd(body_ring::end_observer observer)
{
    m_ring->observeEnd(std::move(observer));
}

} // namespace zinniabarrow
