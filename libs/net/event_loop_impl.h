// The Asio side of event_loop, for the other files of this library only.
#pragma once

#include <algorithm>
#include <cstddef>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "net/event_loop.h"
#include "net/loop_lateness.h"

namespace zinniabarrow::net {

// Buffers of connections: how much of a body is read at once, and what an idle connection keeps.
constexpr std::size_t MaxReadBytes = 64 * 1024;
constexpr std::size_t MaxIdleBufferBytes = 4 * 1024;

// Once the head is read. Without room for it a large body is read in pieces of the buffer's first
// size, half a kilobyte, each with a call of the system.
template <typename Buffer, typename Parser>
void reserveBodyBuffer(Buffer &buffer, const Parser &parser)
{
    const auto left = parser.content_length_remaining();
    if (left && *left > 0)
        buffer.reserve(std::min<std::size_t>(*left, MaxReadBytes));
}

// An idle connection does not keep the memory of a large message.
template <typename Buffer>
void shrinkLargeBuffer(Buffer &buffer)
{
    if (buffer.capacity() > MaxIdleBufferBytes)
        buffer.shrink_to_fit();
}

struct event_loop::impl
{
    boost::asio::io_context io{1}; // one thread: no locks inside
    boost::asio::signal_set signals{io};
    loop_lateness timerLateness;
};

} // namespace zinniabarrow::net
