#include "store.h"

#include <algorithm>
#include <memory>
#include <thread>

namespace review {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds AnswerTime{4};
constexpr std::int64_t FirstClockMs = 5000;

std::string encodeBase64(const std::string &bytes)
{
    const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
            group = group << 8
                    | (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset])
                                                  : 0U);
        for (int digit = 3; digit >= 0; --digit)
            text += alphabet[group >> (6 * digit) & 63];
    }
    const auto padding = (3 - bytes.size() % 3) % 3;
    text.replace(text.size() - padding, padding, padding, '=');
    return text;
}

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const auto sign = pair.find('=');
        query[pair.substr(0, sign)] = decodePercent(pair.substr(sign + 1));
        at = end;
    }
    return query;
}

} // namespace

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value fromText(const std::string &text)
{
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problem;
    reader->parse(text.data(), text.data() + text.size(), &value, &problem);
    return value;
}

store::store(const endpoint &address)
    : m_server(address, [this](const http_message &request) { return serve(request); })
{ }

void store::put(const std::string &table, const std::string &key, const Json::Value &value)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, "", key}] = {encodeBase64(toText(value)), ++m_version, false};
    m_changed.notify_all();
}

http_message store::serve(const http_message &request)
{
    std::this_thread::sleep_for(AnswerTime);
    http_message answer;
    answer.status = 200;
    const auto query = queryOf(request.target);
    if (request.target.starts_with("/-/rows-tx"))
        answer.body = toText(commit(fromText(request.body), answer.status));
    else if (request.target.starts_with("/-/rows-get"))
        answer.body = toText(read(query));
    else if (request.target.starts_with("/-/rows-feed"))
        answer.body = toText(feed(query));
    else
        answer.status = 404;
    return answer;
}

Json::Value store::makeAnswer() const
{
    const auto runningMs =
            std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_startedAt).count();
    Json::Value answer(Json::objectValue);
    answer["ver"] = Json::Int64(m_version);
    answer["now-ms"] = Json::Int64(FirstClockMs + runningMs);
    return answer;
}

Json::Value store::toJson(const row_key &key, const stored_row &row)
{
    Json::Value value(Json::objectValue);
    value["table"] = std::get<0>(key);
    value["part"] = std::get<1>(key);
    value["key"] = std::get<2>(key);
    value["ver"] = Json::Int64(row.version);
    if (row.isRemoved)
        value["removed"] = true;
    else
        value["value"] = row.value;
    return value;
}

Json::Value store::commit(const Json::Value &body, int &status)
{
    const std::lock_guard lock(m_mutex);
    const auto keyOf = [](const Json::Value &entry) {
        return row_key{entry["table"].asString(), entry["part"].asString(),
                       entry["key"].asString()};
    };
    bool hasConflict = false;
    Json::Value current(Json::arrayValue);
    for (const auto &entry : body["expected-rev"]) {
        const auto found = m_rows.find(keyOf(entry));
        const bool exists = found != m_rows.end() && !found->second.isRemoved;
        hasConflict = hasConflict || (exists ? found->second.version : 0) != entry["ver"].asInt64();
        if (exists)
            current.append(toJson(found->first, found->second));
    }
    if (hasConflict) {
        status = 412;
        auto answer = makeAnswer();
        answer["rows"] = current;
        return answer;
    }
    ++m_version;
    for (const auto &entry : body["set-keys"])
        m_rows[keyOf(entry)] = {entry["value"].asString(), m_version, false};
    for (const auto &entry : body["remove"]) {
        if (const auto found = m_rows.find(keyOf(entry)); found != m_rows.end())
            found->second = {"", m_version, true};
    }
    m_changed.notify_all();
    return makeAnswer();
}

Json::Value store::read(const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock(m_mutex);
    const auto parameter = [&](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    auto answer = makeAnswer();
    answer["rows"] = Json::Value(Json::arrayValue);
    answer["more-pages"] = false;
    for (const auto &[key, row] : m_rows) {
        const auto &[table, part, name] = key;
        if (table == parameter("table") && part == parameter("part") && !row.isRemoved
            && name >= parameter("from") && (parameter("to").empty() || name < parameter("to")))
            answer["rows"].append(toJson(key, row));
    }
    return answer;
}

Json::Value store::feed(const std::map<std::string, std::string> &query)
{
    const auto after = std::stoll(query.at("after"));
    const auto deadline = steady_clock::now() + milliseconds(std::stoll(query.at("wait-ms")));
    std::unique_lock lock(m_mutex);
    while (true) {
        std::vector<std::pair<std::int64_t, Json::Value>> changes;
        for (const auto &[key, row] : m_rows) {
            if (std::get<0>(key) == query.at("table") && row.version > after)
                changes.emplace_back(row.version, toJson(key, row));
        }
        if (changes.empty() && m_changed.wait_until(lock, deadline) == std::cv_status::no_timeout)
            continue;
        std::stable_sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) {
            return left.first < right.first;
        });
        auto answer = makeAnswer();
        answer["rows"] = Json::Value(Json::arrayValue);
        for (auto &change : changes)
            answer["rows"].append(std::move(change.second));
        return answer;
    }
}

} // namespace review
