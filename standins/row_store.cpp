#include "standins/row_store.h"

#include <vector>

#include "base/json.h"

namespace zinniabarrow::standins {

namespace {

constexpr Json::ArrayIndex MaxPageRows = 500; // of an answer to rows-get

http_response jsonResponse(int status, const Json::Value &value)
{
    return {status, {}, compactJson(value)};
}

std::string rowKeyOf(const Json::Value &row)
{
    return row["table"].asString() + "|" + row["part"].asString() + "|" + row["key"].asString();
}

} // namespace

http_response row_store::serve(const http_request &request, std::int64_t nowMs)
{
    if (request.path() == "/-/rows-tx")
        return commit(parseJson(request.body), nowMs);
    if (request.path() == "/-/rows-get")
        return read(request, nowMs);
    return feed(request, nowMs);
}

bool row_store::hasChangesFor(const http_request &request) const
{
    return request.path() == "/-/rows-feed" && !changes(request).empty();
}

http_response row_store::commit(const Json::Value &body, std::int64_t nowMs)
{
    Json::Value answer(Json::objectValue);
    answer["rows"] = Json::Value(Json::arrayValue);
    bool isExpected = true;
    for (const auto &expected : body["expected-rev"]) {
        const auto found = m_rows.find(rowKeyOf(expected));
        const auto version = found == m_rows.end() ? 0 : found->second["ver"].asInt64();
        isExpected = isExpected && version == expected["ver"].asInt64();
        if (found != m_rows.end())
            answer["rows"].append(found->second);
    }
    if (!isExpected)
        return jsonResponse(412, answer);
    ++m_version;
    for (auto row : body["set-keys"]) {
        assignVersion(row);
        m_rows[rowKeyOf(row)] = row;
        m_removedRows.erase(rowKeyOf(row));
    }
    for (auto row : body["remove"]) {
        assignVersion(row);
        row["removed"] = true;
        m_rows.erase(rowKeyOf(row));
        m_removedRows[rowKeyOf(row)] = row;
    }
    return jsonResponse(200, makeVersionedAnswer(nowMs));
}

void row_store::assignVersion(Json::Value &row)
{
    row["ver"] = Json::Int64(m_version);
    m_newestVersionByTable[row["table"].asString()] = m_version;
}

Json::Value row_store::makeVersionedAnswer(std::int64_t nowMs) const
{
    Json::Value value(Json::objectValue);
    value["ver"] = Json::Int64(m_version);
    value["now-ms"] = Json::Int64(nowMs);
    return value;
}

http_response row_store::read(const http_request &request, std::int64_t nowMs) const
{
    auto answer = makeVersionedAnswer(nowMs);
    answer["rows"] = Json::Value(Json::arrayValue);
    answer["more-pages"] = false;
    const auto prefix = request.query("table") + "|" + request.query("part") + "|";
    auto to = request.query("to");
    if (to.ends_with("%01"))
        to = to.substr(0, to.size() - 3) + "\x01";
    for (auto found = m_rows.lower_bound(prefix);
         found != m_rows.end() && found->first.starts_with(prefix); ++found) {
        const auto key = found->second["key"].asString();
        if (key < request.query("from") || (!to.empty() && key >= to))
            continue;
        if (answer["rows"].size() == MaxPageRows) {
            answer["more-pages"] = true;
            break;
        }
        answer["rows"].append(found->second);
    }
    return jsonResponse(200, answer);
}

http_response row_store::feed(const http_request &request, std::int64_t nowMs) const
{
    auto answer = makeVersionedAnswer(nowMs);
    answer["rows"] = changes(request);
    return jsonResponse(200, answer);
}

Json::Value row_store::changes(const http_request &request) const
{
    std::map<std::int64_t, std::vector<const Json::Value *>> rowsByVersion;
    Json::Value rows(Json::arrayValue);
    const auto after = std::stoll(request.query("after"));
    const auto newest = m_newestVersionByTable.find(request.query("table"));
    if (newest == m_newestVersionByTable.end() || newest->second <= after)
        return rows;
    const auto prefix = request.query("table") + "|";
    for (const auto *rowsByKey : {&m_rows, &m_removedRows}) {
        for (auto found = rowsByKey->lower_bound(prefix);
             found != rowsByKey->end() && found->first.starts_with(prefix); ++found) {
            const auto version = found->second["ver"].asInt64();
            if (version > after)
                rowsByVersion[version].push_back(&found->second);
        }
    }
    for (const auto &[version, changedRows] : rowsByVersion) {
        for (const auto *row : changedRows)
            rows.append(*row);
    }
    return rows;
}

} // namespace zinniabarrow::standins
