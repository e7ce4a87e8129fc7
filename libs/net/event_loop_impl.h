// The Asio part of event_loop. Internal to this library.
#pragma once

#include <algorithm>
#include <cstddef>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "net/event_loop.h"
#include "net/loop_lateness.h"

namespace zinniabarrow::net {

// Connection buffers: the bytes of a body that are read at once, and the capacity that an idle
// connection may keep.
constexpr std::size_t MaxReadBytes = 64 * 1024;
constexpr std::size_t MaxIdleBufferBytes = 4 * 1024;

// Call after the head is read. Without the reserved space, a large body would be read in pieces of
// the buffer's initial size (half a kilobyte), each with a system call.
template <typename Buffer, typename Parser>
void reserveBodyBuffer(Buffer &buffer, const Parser &parser)
{
    const auto remainingBytes = parser.content_length_remaining();
    if (remainingBytes && *remainingBytes > 0)
        buffer.reserve(std::min<std::size_t>(*remainingBytes, MaxReadBytes));
}

// Frees the memory of a large message before the connection becomes idle.
template <typename Buffer>
void shrinkLargeBuffer(Buffer &buffer)
{
    if (buffer.capacity() > MaxIdleBufferBytes)
        buffer.shrink_to_fit();
}

struct event_loop::impl
{
    boost::asio::io_context io{1}; // 1: one thread, so Asio needs no locks
    boost::asio::signal_set signals{io};
    loop_lateness timerLateness;
};

} // namespace zinniabarrow::net
