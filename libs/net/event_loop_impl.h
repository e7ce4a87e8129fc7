// The Asio side of event_loop, for the other files of this library only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "net/event_loop.h"

namespace zinniabarrow::net {

struct event_loop::impl
{
    boost::asio::io_context io{1}; // one thread: no locks inside
    boost::asio::signal_set signals{io};
};

} // namespace zinniabarrow::net
