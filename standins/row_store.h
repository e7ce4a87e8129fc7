// Rows of the users' store: transactions, reads and the feed of changes. It keeps them in memory.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <json/json.h>

#include "runtime/http.h"

namespace zinniabarrow::standins {

class row_store
{
public:
    // `nowMs` is the reading of the store's clock.
    http_response serve(const http_request &request, std::int64_t nowMs);
    // Whether a request of the feed would be answered with rows. False for other requests.
    bool hasChangesFor(const http_request &request) const;

private:
    http_response commit(const Json::Value &body, std::int64_t nowMs);
    http_response read(const http_request &request, std::int64_t nowMs) const;
    http_response feed(const http_request &request, std::int64_t nowMs) const;
    Json::Value changes(const http_request &request) const;
    Json::Value makeVersionedAnswer(std::int64_t nowMs) const;
    void assignVersion(Json::Value &row);

    std::map<std::string, Json::Value> m_rows;
    std::map<std::string, Json::Value> m_removedRows; // reported by the feed
    std::map<std::string, std::int64_t> m_newestVersionByTable;
    std::int64_t m_version = 1;
};

} // namespace zinniabarrow::standins
