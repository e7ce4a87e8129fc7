// Asking a duty from an HTTP thread and waiting for its answer, with a bound.
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

// `post` hands the promise to the duty's ring and says whether there was room. The answer's error
// becomes the refusal of the call; no answer in time is refused as overloaded.
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
