// Blocking HTTP/1.1 over TCP on loopback for the stand-ins of this review: a server with a thread
// for each connection, a client, and a link that can be cut.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

struct endpoint
{
    std::string ip;
    int port = 0;
};
std::string toText(const endpoint &address);

struct http_message
{
    std::string method;                         // of a request
    std::string target;                         // of a request
    int status = 0;                             // of an answer
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

// Returns the answer; none: the connection ends without one.
using http_handler = std::function<std::optional<http_message>(const http_message &)>;

class http_server
{
public:
    http_server(const endpoint &address, http_handler handler);
    endpoint address() const { return m_address; }
    // Closes the listener and all connections, as when the process ends.
    void close();
    void open(); // listens again at the same address

private:
    void accept(int listener);
    void serve(int socket);

    endpoint m_address;
    http_handler m_handler;
    std::mutex m_mutex;
    int m_listener = -1;
    std::set<int> m_connections;
};

// None: there was no complete answer in time.
std::optional<http_message> call(const endpoint &peer, const http_message &request,
                                 std::chrono::milliseconds timeout);

// Relays connections to the target. While it is cut, it carries no bytes; what has arrived is
// delivered afterwards, like the retransmitted packets of a partition.
class link
{
public:
    link(const endpoint &listen, const endpoint &target);
    endpoint address() const { return m_listen; }
    // Cuts the connections that a process makes; 0: those of all processes.
    void cut(int process);
    void heal();

private:
    void accept();
    bool isCutFor(int process) const;

    endpoint m_listen;
    endpoint m_target;
    int m_listener = -1;
    std::atomic<bool> m_isCut{false};
    std::atomic<int> m_cutProcess{0};
};

} // namespace review
