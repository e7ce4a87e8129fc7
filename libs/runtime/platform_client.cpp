#include "runtime/platform_client.h"

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "platform/platform_json.h"

namespace zinniabarrow {

namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int ConflictStatus = 409;

http_request jsonRequest(const std::string &target, const Json::Value &body)
{
    return {"POST", target, {{"Content-Type", "application/json"}}, compactJson(body)};
}

stored_object storedObjectFromJson(const Json::Value &json)
{
    return {stringMember(json, "name"), {}, countMember(json, "version")};
}

const http_response *answerIn(const call_result &result, int status)
{
    const auto *response = std::get_if<http_response>(&result);
    return response != nullptr && response->status == status ? response : nullptr;
}

} // namespace

platform_client::platform_client(const socket_address &platform, milliseconds timeout)
    : m_pool(platform)
    , m_timeout(timeout)
{ }

call_result platform_client::send(const http_request &request)
{
    return m_pool.call(request, monotonic_clock::now() + m_timeout);
}

write_result platform_client::writeOutcome(const call_result &result) const
{
    if (const auto *failure = std::get_if<call_failure>(&result)) {
        const bool mayHaveApplied = mayHaveArrived(*failure);
        return {mayHaveApplied ? write_outcome::Unknown : write_outcome::Refused, 0, {}};
    }
    const auto &response = std::get<http_response>(result);
    if (response.status != Ok && response.status != ConflictStatus) {
        // 503 and 429 mean that the write was refused before execution. Any other status leaves the
        // outcome unknown.
        const bool wasRefused = response.status == 503 || response.status == 429;
        return {wasRefused ? write_outcome::Refused : write_outcome::Unknown, 0, {}};
    }
    try {
        return writeResultFromJson(parseJson(response.body));
    } catch (const error &) {
        return {};
    }
}

write_result platform_client::commit(const table_transaction &transaction)
{
    return writeOutcome(send(jsonRequest("/table/commit", toJson(transaction))));
}

write_result platform_client::putObject(const std::string &name, const std::string &content,
                                        std::optional<std::uint64_t> expected)
{
    http_request request{"PUT", "/objects/" + name, {}, content};
    request.headers["Content-Type"] = "application/octet-stream";
    if (expected)
        request.headers["If-Version"] = std::to_string(*expected);
    return writeOutcome(send(request));
}

write_result platform_client::removeObject(const std::string &name,
                                           std::optional<std::uint64_t> expected)
{
    http_request request{"DELETE", "/objects/" + name, {}, {}};
    if (expected)
        request.headers["If-Version"] = std::to_string(*expected);
    return writeOutcome(send(request));
}

std::optional<table_snapshot> platform_client::read(const std::vector<std::string> &keys,
                                                    const std::vector<std::string> &prefixes)
{
    Json::Value body(Json::objectValue);
    body["keys"] = Json::Value(Json::arrayValue);
    body["prefixes"] = Json::Value(Json::arrayValue);
    for (const auto &key : keys)
        body["keys"].append(key);
    for (const auto &prefix : prefixes)
        body["prefixes"].append(prefix);
    const auto result = send(jsonRequest("/table/read", body));
    const auto *response = answerIn(result, Ok);
    if (response == nullptr)
        return std::nullopt;
    try {
        const auto json = parseJson(response->body);
        table_snapshot snapshot;
        snapshot.sequence = countMember(json, "sequence");
        for (const auto &row : arrayMember(json, "rows"))
            snapshot.rows.push_back(tableRowFromJson(row));
        return snapshot;
    } catch (const error &) {
        return std::nullopt;
    }
}

std::optional<std::vector<stored_object>> platform_client::listObjects(const std::string &prefix)
{
    const auto result = send({"GET", "/objects?prefix=" + prefix, {}, {}});
    const auto *response = answerIn(result, Ok);
    if (response == nullptr)
        return std::nullopt;
    try {
        const auto json = parseJson(response->body);
        std::vector<stored_object> objects;
        for (const auto &object : arrayMember(json, "objects"))
            objects.push_back(storedObjectFromJson(object));
        return objects;
    } catch (const error &) {
        return std::nullopt;
    }
}

std::optional<stored_object> platform_client::getObject(const std::string &name)
{
    const auto result = send({"GET", "/objects/" + name, {}, {}});
    if (answerIn(result, NotFound) != nullptr)
        return stored_object{name, {}, 0};
    const auto *response = answerIn(result, Ok);
    if (response == nullptr)
        return std::nullopt;
    return stored_object{name, response->body,
                         std::strtoull(response->header("Zb-Version").c_str(), nullptr, 10)};
}

} // namespace zinniabarrow
