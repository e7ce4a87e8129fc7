// HTTP client for the platform's table and object store. Calls block, so each client is used by one
// actor of its own.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/records.h"
#include "runtime/http.h"

namespace zinniabarrow {

struct table_snapshot
{
    std::uint64_t sequence = 0; // table sequence at the time of the read
    std::vector<table_row> rows;
};

class platform_client
{
public:
    // `timeout` is the time limit of each call, connecting included.
    platform_client(const socket_address &platform, milliseconds timeout);

    // Outcome Unknown when no answer came: the write may have taken effect. With `expected`, a
    // write is applied only if the object still has that version (0: it must not exist).
    write_result commit(const table_transaction &transaction);
    write_result putObject(const std::string &name, const std::string &content,
                           std::optional<std::uint64_t> expected);
    write_result removeObject(const std::string &name, std::optional<std::uint64_t> expected);

    // Returns nullopt when the platform did not answer.
    std::optional<table_snapshot> read(const std::vector<std::string> &keys,
                                       const std::vector<std::string> &prefixes);
    std::optional<std::vector<stored_object>> listObjects(const std::string &prefix);
    // The object has version 0 when it does not exist. Returns nullopt when the platform did not
    // answer.
    std::optional<stored_object> getObject(const std::string &name);

private:
    call_result send(const http_request &request);
    write_result writeOutcome(const call_result &result) const;

    http_pool m_pool;
    milliseconds m_timeout;
};

} // namespace zinniabarrow
