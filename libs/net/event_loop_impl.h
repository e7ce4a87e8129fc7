// The Asio side of event_loop, for the other files of this library only.
#pragma once

#include <cstddef>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "net/event_loop.h"

namespace zinniabarrow::net {

// Buffers of connections: how much of a body is read at once, and what an idle connection keeps.
constexpr std::size_t ReadAtOnce = 64 * 1024;
constexpr std::size_t KeptBuffer = 4 * 1024;

struct event_loop::impl
{
    boost::asio::io_context io{1}; // one thread: no locks inside
    boost::asio::signal_set signals{io};
};

} // namespace zinniabarrow::net
