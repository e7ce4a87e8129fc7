// The server on the event loop: what becomes of large requests.
#include <optional>
#include <string>

#include <criterion/criterion.h>

#include "net/event_loop.h"
#include "net/http_caller.h"
#include "net/http_listener.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

struct exchange
{
    std::optional<int> status;       // of the answer; none: there was none
    std::optional<std::size_t> body; // bytes that the server was given; none: it never was asked
};

exchange post(std::size_t bytes)
{
    net::event_loop loop;
    exchange result;
    net::listener_limits limits;
    limits.bodyBytes = 100'000;
    net::http_listener listener(loop, {"127.0.0.1", 0}, limits,
                                [&](const http_request &request, const net::responder &respond) {
                                    result.body = request.body.size();
                                    respond({200, {}, ""});
                                });
    net::http_caller caller(loop);
    http_request request;
    request.method = "POST";
    request.body.assign(bytes, 'x');
    caller.call(toText(listener.address()), std::move(request), seconds(30),
                [&](const call_result &answer) {
                    if (const auto *response = std::get_if<http_response>(&answer))
                        result.status = response->status;
                    loop.stop();
                });
    loop.run([](const std::exception &) {});
    return result;
}

} // namespace

// A caller sends a body that is larger than the limit, and its first bytes come together with the
// head. Either the caller was cut off without a word, or the server took whatever came.
Test(http_listener, large_requests)
{
    section("up to the limit it is taken whole", [] {
        check(post(0).body == 0);
        check(post(1).body == 1);
        check(post(100'000).body == 100'000);
        check(post(100'000).status == 200);
    });
    section("beyond, it is refused and the caller told so", [] {
        const auto seen = post(100'001);
        check(!seen.body);
        check(seen.status == 413);
    });
}
