// Stand-in of the platform's metadata store: rows, conditional transactions and the feed.
#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include <json/json.h>

#include "net.h"

namespace review {

class store
{
public:
    explicit store(const endpoint &address);
    endpoint address() const { return m_server.address(); }
    // Writes a row as the operator does.
    void put(const std::string &table, const std::string &key, const Json::Value &value);

private:
    using row_key = std::tuple<std::string, std::string, std::string>; // table, part, key
    struct stored_row
    {
        std::string value; // base64
        std::int64_t version = 0;
        bool isRemoved = false;
    };

    http_message serve(const http_message &request);
    Json::Value commit(const Json::Value &body, int &status);
    Json::Value read(const std::map<std::string, std::string> &query);
    Json::Value feed(const std::map<std::string, std::string> &query);
    Json::Value makeAnswer() const;
    static Json::Value toJson(const row_key &key, const stored_row &row);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<row_key, stored_row> m_rows;
    std::int64_t m_version = 1;
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    http_server m_server; // last: it serves as soon as it exists
};

std::string toText(const Json::Value &value);
Json::Value fromText(const std::string &text);

} // namespace review
