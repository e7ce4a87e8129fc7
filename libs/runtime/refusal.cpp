#include "runtime/refusal.h"

#include "base/json.h"

namespace zinniabarrow {

http_response refusalAnswer(error_kind kind, executed execution, milliseconds retryAfter)
{
    const auto &row = answerFor(kind);
    http_response response;
    response.status = row.httpStatus;
    response.headers[ErrorHeader] = std::string(row.name);
    response.headers[ExecutedHeader] = std::string(nameOf(execution));
    if (retryAfter.count() > 0) {
        constexpr milliseconds::rep Second = 1000; // Retry-After is in whole seconds; rounded up
        response.headers["Retry-After"] =
                std::to_string((retryAfter.count() + Second - 1) / Second);
    }
    Json::Value body(Json::objectValue);
    body["error"] = std::string(row.name);
    body["executed"] = std::string(nameOf(execution));
    body["retry_after_ms"] = Json::Int64(retryAfter.count());
    response.body = compactJson(body);
    return response;
}

http_response refusalAnswer(error_kind kind)
{
    const auto &row = answerFor(kind);
    return refusalAnswer(kind, row.execution, row.suggestedRetryDelay);
}

} // namespace zinniabarrow
