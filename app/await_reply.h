// Lets an HTTP thread send a request to an actor (a component with its own thread and queue) and
// wait for the reply, with a time limit.
#pragma once

#include <future>
#include <memory>
#include <string>

#include <json/json.h>

#include "base/errors.h"
#include "base/time.h"
#include "rpc/rpc.h"

namespace zinniabarrow {

using reply_promise = std::shared_ptr<std::promise<Json::Value>>;

// `post` puts the request with the reply promise into the actor's queue and returns whether there
// was room. Throws rpc_refusal with the actor's error, or as overloaded if the queue is full or no
// reply comes within 2 s.
template <typename Post>
Json::Value postAndAwaitReply(Post &&post)
{
    constexpr milliseconds ReplyTimeout{2000};
    auto reply = std::make_shared<std::promise<Json::Value>>();
    auto answer = reply->get_future();
    if (!post(reply) || answer.wait_for(ReplyTimeout) != std::future_status::ready)
        throw rpc_refusal(std::string(nameOf(error_kind::Overloaded)), "try again later");
    try {
        return answer.get();
    } catch (const error &problem) {
        throw rpc_refusal(std::string(nameOf(problem.kind())), problem.what());
    }
}

} // namespace zinniabarrow
