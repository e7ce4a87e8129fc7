// Builds the HTTP answer to a refused request, in the same form everywhere.
#pragma once

#include "base/errors.h"
#include "runtime/http.h"

namespace zinniabarrow {

constexpr const char *ErrorHeader = "Zb-Error";       // error kind by name
constexpr const char *ExecutedHeader = "Zb-Executed"; // "no", "yes" or "unknown"

// `retryAfter` in whole milliseconds; 0: no Retry-After header.
http_response refusalAnswer(error_kind kind, executed execution, milliseconds retryAfter);
http_response refusalAnswer(error_kind kind); // with the values of the error table, see errors.h

} // namespace zinniabarrow
