// Tests that the sender and the receiver of a control message count the same bytes.
#include "app/outbound_calls.h"
#include "app/rpc_endpoint.h"
#include "base/errors.h"
#include "section.h"

#include <future>

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

std::optional<Json::Value> callAndWait(rpc_sender &sender, const std::string &target,
                                       const std::string &method, const Json::Value &parameters)
{
    std::promise<std::optional<Json::Value>> answered;
    sender.call(target, method, parameters,
                [&](std::optional<Json::Value> answer) { answered.set_value(std::move(answer)); });
    return answered.get_future().get();
}

} // namespace

// The traffic budget of a node is computed from these counters. If either end left out the HTTP
// head or counted a message under another kind, the budget would be wrong unnoticed. So the bytes
// that one process counts as sent must equal those that the other counts as received.
Test(control_bytes, both_ends_count_the_same)
{
    metrics atServer;
    metrics atClient;
    rpc_endpoint endpoint(atServer, [] { return true; });
    endpoint.bind("echo", [](const Json::Value &parameters) { return parameters; });
    endpoint.bind("refuse", [](const Json::Value &) -> Json::Value {
        throw zinniabarrow::error(error_kind::BadRequest, "as asked");
    });
    http_server server({"127.0.0.1", 0}, {},
                       [&](const http_request &request) { return *endpoint.serve(request); });
    server.start();
    actor_runtime runtime;
    rpc_sender sender(runtime, seconds(10), atClient);
    const auto target = toText(server.address());
    Json::Value parameters(Json::objectValue);
    parameters["text"] = std::string(1000, 'x');
    check(callAndWait(sender, target, "echo", parameters) == parameters);
    check(!callAndWait(sender, target, "refuse", parameters));
    for (const auto *kind : {"echo", "refuse"}) {
        section(kind, [&] {
            const auto sent = atClient.controlBytes(kind, byte_direction::Sent);
            const auto answered = atClient.controlBytes(kind, byte_direction::Received);
            check(sent > 1000);
            check(sent == atServer.controlBytes(kind, byte_direction::Received));
            check(answered == atServer.controlBytes(kind, byte_direction::Sent));
        });
    }
    section("a large answer to a small call counts as large",
            [&] { check(atClient.controlBytes("echo", byte_direction::Received) > 1000); });
    sender.stop();
    server.stop();
}
