// What a socket holds for its reader, without taking it. For the other files of this library only.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace zinniabarrow::net {

enum class socket_peek { Nothing, Bytes, End };

// End: the peer has closed, or the connection is broken.
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
