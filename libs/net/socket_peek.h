// Looks at a socket's receive buffer without consuming bytes. Internal to this library.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace zinniabarrow::net {

enum class socket_peek { Nothing, Bytes, End };

// Returns what a read would find; End: the peer closed the connection, or the connection is broken.
// Makes the socket non-blocking.
inline socket_peek peek(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code failure;
    char byte = 0;
    socket.non_blocking(true, failure);
    const auto read = socket.receive(boost::asio::buffer(&byte, 1),
                                     boost::asio::ip::tcp::socket::message_peek, failure);
    if (failure == boost::asio::error::would_block)
        return socket_peek::Nothing;
    return !failure && read > 0 ? socket_peek::Bytes : socket_peek::End;
}

} // namespace zinniabarrow::net
