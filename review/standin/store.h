// Stand-in of the platform's store, with the calls of PROTOCOL.md that the system uses.
#pragma once

#include <condition_variable>
#include <mutex>
#include <set>
#include <tuple>

#include <json/json.h>

#include "http.h"

namespace review {

inline Json::Value parseJson(const std::string &text)
{
    Json::CharReaderBuilder builder;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problem;
    reader->parse(text.data(), text.data() + text.size(), &value, &problem);
    return value;
}

inline std::string jsonText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline std::string base64(const std::string &text)
{
    static const char *const Alphabet =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t from = 0; from < text.size(); from += 3) {
        unsigned value = 0;
        for (std::size_t index = from; index < from + 3; ++index)
            value = value << 8
                    | (index < text.size() ? static_cast<unsigned char>(text[index]) : 0U);
        for (std::size_t position = 0; position < 4; ++position)
            result += position > text.size() - from ? '='
                                                    : Alphabet[value >> (18 - 6 * position) & 63];
    }
    return result;
}

class store
{
public:
    static constexpr std::int64_t TransactionMs = 5;
    static constexpr std::size_t RowBytes = 65536;

    std::atomic<bool> isDown{false};     // answers 503, does nothing
    std::atomic<bool> isSilent{false};   // gives no answer, does nothing
    std::atomic<int> loseAnswers{0};     // that many writes are done and not answered
    std::atomic<std::int64_t> slowMs{0}; // added to each answer

    std::optional<response> serve(const request &call)
    {
        if (isSilent) {
            while (isSilent)
                sleepMs(20);
            return std::nullopt;
        }
        if (isDown)
            return response{503, ""};
        sleepMs(4 + slowMs);
        if (call.path == "/-/rows-tx")
            return transact(parseJson(call.body));
        if (call.path == "/-/rows-get")
            return get(call);
        if (call.path == "/-/rows-feed")
            return feed(call);
        if (call.path == "/-/rows-parts")
            return parts(call);
        return response{404, ""};
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        ++m_version;
        set({table, "", key}, base64(value));
        m_changed.notify_all();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        ++m_version;
        drop({table, "", key});
        m_changed.notify_all();
    }

    int refusedRows() const { return m_refusedRows; }

private:
    using row_key = std::tuple<std::string, std::string, std::string>;
    struct stored_row
    {
        std::string value;
        std::int64_t version = 0;
        bool removed = false;
    };

    static row_key keyOf(const Json::Value &row)
    {
        return {row["table"].asString(), row["part"].asString(), row["key"].asString()};
    }

    Json::Value head() const
    {
        Json::Value answer(Json::objectValue);
        answer["ver"] = Json::Int64(m_version);
        answer["now-ms"] = Json::Int64(steadyMs());
        return answer;
    }

    static Json::Value toJson(const row_key &key, const stored_row &row)
    {
        Json::Value value(Json::objectValue);
        value["table"] = std::get<0>(key);
        value["part"] = std::get<1>(key);
        value["key"] = std::get<2>(key);
        value["ver"] = Json::Int64(row.version);
        if (row.removed)
            value["removed"] = true;
        else
            value["value"] = row.value;
        return value;
    }

    void set(const row_key &key, const std::string &value)
    {
        m_rows[key] = {value, m_version, false};
    }
    void drop(const row_key &key) { m_rows[key] = {"", m_version, true}; }

    std::optional<response> transact(const Json::Value &body)
    {
        std::string part;
        for (const auto *list : {"expected-rev", "set-keys", "remove"}) {
            for (const auto &row : body[list])
                part = row["part"].asString();
        }
        // One transaction after another in a part.
        std::unique_lock partLock(*partMutex(part));
        sleepMs(TransactionMs);
        for (const auto &row : body["set-keys"]) {
            if (row["table"].asString() == "op" || row["table"].asString() == "servers")
                return response{403, ""};
            if (row["value"].asString().size() / 4 * 3 > RowBytes + 2) {
                ++m_refusedRows;
                return response{400, R"({"error":"row too large"})"};
            }
        }
        const std::lock_guard lock(m_mutex);
        Json::Value conflict = head();
        conflict["rows"] = Json::Value(Json::arrayValue);
        bool isExpected = true;
        for (const auto &expected : body["expected-rev"]) {
            const auto found = m_rows.find(keyOf(expected));
            const bool exists = found != m_rows.end() && !found->second.removed;
            const auto version = exists ? found->second.version : 0;
            isExpected = isExpected && version == expected["ver"].asInt64();
            if (exists)
                conflict["rows"].append(toJson(found->first, found->second));
        }
        if (!isExpected)
            return response{412, jsonText(conflict)};
        ++m_version;
        for (const auto &row : body["set-keys"])
            set(keyOf(row), row["value"].asString());
        for (const auto &row : body["remove"])
            drop(keyOf(row));
        m_changed.notify_all();
        if (loseAnswers > 0 && loseAnswers-- > 0)
            return std::nullopt;
        return response{200, jsonText(head())};
    }

    std::optional<response> get(const request &call)
    {
        const auto value = [&](const char *name) {
            const auto found = call.query.find(name);
            return found == call.query.end() ? std::string() : found->second;
        };
        const std::lock_guard lock(m_mutex);
        auto answer = head();
        answer["rows"] = Json::Value(Json::arrayValue);
        answer["more-pages"] = false;
        const auto to = value("to");
        const std::size_t limit = value("limit").empty() ? 500 : std::stoul(value("limit"));
        std::size_t bytes = 0;
        for (auto at = m_rows.lower_bound({value("table"), value("part"), value("from")});
             at != m_rows.end(); ++at) {
            const auto &[table, part, key] = at->first;
            if (table != value("table") || part != value("part") || (!to.empty() && key >= to))
                break;
            if (at->second.removed)
                continue;
            if (answer["rows"].size() >= limit || bytes > 1'000'000) {
                answer["more-pages"] = true;
                break;
            }
            bytes += at->second.value.size();
            answer["rows"].append(toJson(at->first, at->second));
        }
        return response{200, jsonText(answer)};
    }

    std::optional<response> feed(const request &call)
    {
        const auto table = call.query.at("table");
        const auto after = std::stoll(call.query.at("after"));
        const auto wait = std::min<std::int64_t>(30'000, std::stoll(call.query.at("wait-ms")));
        const auto until = steady::now() + std::chrono::milliseconds(wait);
        std::unique_lock lock(m_mutex);
        for (;;) {
            std::map<std::int64_t, std::vector<Json::Value>> changes;
            for (const auto &[key, row] : m_rows) {
                if (std::get<0>(key) == table && row.version > after)
                    changes[row.version].push_back(toJson(key, row));
            }
            if (isDown || isSilent)
                return response{503, ""};
            if (!changes.empty() || steady::now() >= until) {
                auto answer = head();
                answer["rows"] = Json::Value(Json::arrayValue);
                for (const auto &[version, rows] : changes) {
                    for (const auto &row : rows)
                        answer["rows"].append(row);
                }
                return response{200, jsonText(answer)};
            }
            m_changed.wait_until(lock,
                                 std::min(until, steady::now() + std::chrono::milliseconds(100)));
        }
    }

    std::optional<response> parts(const request &call)
    {
        const std::lock_guard lock(m_mutex);
        std::set<std::string> names;
        for (const auto &[key, row] : m_rows) {
            if (std::get<0>(key) == call.query.at("table") && !row.removed)
                names.insert(std::get<1>(key));
        }
        auto answer = head();
        answer["parts"] = Json::Value(Json::arrayValue);
        for (const auto &name : names)
            answer["parts"].append(name);
        return response{200, jsonText(answer)};
    }

    std::mutex *partMutex(const std::string &part)
    {
        const std::lock_guard lock(m_partsMutex);
        return &m_partMutexes[part];
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<row_key, stored_row> m_rows;
    std::int64_t m_version = 1;
    std::mutex m_partsMutex;
    std::map<std::string, std::mutex> m_partMutexes;
    std::atomic<int> m_refusedRows{0};
};

} // namespace review
