#include <iterator>

#include <boost/algorithm/hex.hpp>
#include <fmt/core.h>

#include "base/hash.h"
#include "base/json_member.h"
#include "base/names.h"
#include "delivery/claim_coordinator.h"

namespace zinniabarrow::delivery {

namespace {

constexpr std::size_t SweepPrefixCount = 4096;

constexpr name_table<claim_state, 4> StateNames{{
        {claim_state::Started, "started"},
        {claim_state::Finished, "finished"},
        {claim_state::NotRun, "not_run"},
        {claim_state::Unknown, "unknown"},
}};

// Bodies may contain any bytes, JSON strings only text: bodies are stored as hexadecimal digits.
std::string toHex(const std::string &bytes)
{
    std::string digits;
    boost::algorithm::hex_lower(bytes, std::back_inserter(digits));
    return digits;
}

std::string fromHex(const std::string &digits)
{
    std::string bytes;
    try {
        boost::algorithm::unhex(digits, std::back_inserter(bytes));
    } catch (const boost::algorithm::hex_decode_error &) {
        throw error(error_kind::BadRequest,
                    "claim row: member \"body\" must have hexadecimal digits only");
    }
    return bytes;
}

} // namespace

std::string_view nameOf(claim_state state)
{
    return nameOf(StateNames, state);
}

std::string claimRowPrefix(std::size_t index)
{
    return fmt::format("claim/{:03x}/", index % SweepPrefixCount);
}

std::string claimRowKey(const std::string &service, const std::string &team, const std::string &key)
{
    // The lengths make the scope unique, even if a name contains the separator.
    const auto scope =
            fmt::format("{}:{}/{}:{}/{}", service.size(), service, team.size(), team, key);
    return claimRowPrefix(stableHash(scope)) + scope;
}

Json::Value toJson(const complete_answer &answer)
{
    Json::Value value(Json::objectValue);
    value["status"] = answer.status;
    value["body_bytes"] = Json::UInt64(answer.bodyBytes);
    for (const auto &[name, text] : answer.headers)
        value["headers"][name] = text;
    if (answer.body)
        value["body"] = toHex(*answer.body);
    return value;
}

complete_answer completeAnswerFromJson(const Json::Value &value)
{
    complete_answer answer;
    answer.status = static_cast<int>(countMember(value, "status"));
    answer.bodyBytes = countMember(value, "body_bytes");
    if (value.isMember("headers")) {
        const auto &headers = objectMember(value, "headers");
        for (const auto &name : headers.getMemberNames())
            answer.headers[name] = stringMember(headers, name.c_str());
    }
    if (value.isMember("body"))
        answer.body = fromHex(stringMember(value, "body"));
    return answer;
}

Json::Value toJson(const claim_row &row)
{
    Json::Value value(Json::objectValue);
    value["request"] = row.requestId;
    value["entry"] = row.entryId;
    value["hash"] = fmt::format("{:016x}", row.requestHash);
    value["state"] = std::string(nameOf(row.state));
    value["era"] = Json::UInt64(row.era);
    if (row.answer)
        value["answer"] = toJson(*row.answer);
    return value;
}

claim_row claimRowFromJson(const Json::Value &value)
{
    claim_row row;
    row.requestId = stringMember(value, "request");
    row.entryId = stringMember(value, "entry");
    const auto hash = stringMember(value, "hash");
    if (hash.size() != 16 || hash.find_first_not_of("0123456789abcdef") != std::string::npos)
        throw error(error_kind::BadRequest,
                    "claim row: member \"hash\" must have 16 hexadecimal digits");
    row.requestHash = std::stoull(hash, nullptr, 16);
    const auto state = valueOf(StateNames, stringMember(value, "state"));
    if (!state)
        throw error(error_kind::BadRequest,
                    "claim row: member \"state\" must be the name of a claim state");
    row.state = *state;
    row.era = countMember(value, "era");
    if (value.isMember("answer"))
        row.answer = completeAnswerFromJson(value["answer"]);
    return row;
}

} // namespace zinniabarrow::delivery
