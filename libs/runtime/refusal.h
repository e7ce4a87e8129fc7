// The one form of every refusal in HTTP.
#pragma once

#include "base/errors.h"
#include "runtime/http.h"

namespace zinniabarrow {

constexpr const char *ErrorHeader = "Zb-Error";       // name of the error kind
constexpr const char *ExecutedHeader = "Zb-Executed"; // no, yes or unknown

// `retryAfter` zero: no Retry-After.
http_response refusalAnswer(error_kind kind, executed execution, milliseconds retryAfter);
http_response refusalAnswer(error_kind kind); // with the table's own values

} // namespace zinniabarrow
