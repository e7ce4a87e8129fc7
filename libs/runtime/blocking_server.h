// httplib's server, but that an idle connection costs nothing. Private to this library.
#pragma once

#include <httplib.h>

namespace zinniabarrow {

// httplib looks about 90 times a second whether a connection that is kept open has a request: 15
// idle connections woke an entry 2,700 times a second. Here the connection's thread blocks until
// there is one, or until the keep-alive ends. Everything else is httplib's.
class blocking_server : public httplib::Server
{
private:
    bool process_and_close_socket(socket_t link) override; // NOLINT(readability-identifier-naming)
};

} // namespace zinniabarrow
