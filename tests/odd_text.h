// Odd variants of a JSON text, such as another program, an operator or a fault may leave in a row
// or a message: each value replaced or missing, each list longer or shorter than those beside it.
#pragma once

#include <algorithm>
#include <array>
#include <string>
#include <variant>
#include <vector>

#include <json/json.h>

#include "base/json.h"
#include "base/random.h"

namespace zinniabarrow::tests {

// Steps from the root of a JSON value to one of its members or elements.
using json_path = std::vector<std::variant<std::string, Json::ArrayIndex>>;

inline Json::Value &valueAt(Json::Value &root, const json_path &path)
{
    auto *value = &root;
    for (const auto &step : path) {
        const auto *name = std::get_if<std::string>(&step);
        value = name != nullptr ? &(*value)[*name] : &(*value)[std::get<Json::ArrayIndex>(step)];
    }
    return *value;
}

inline void addPaths(const Json::Value &value, const json_path &here, std::vector<json_path> &paths)
{
    paths.push_back(here);
    const auto addBelow = [&](const auto &step, const Json::Value &member) {
        auto below = here;
        below.emplace_back(step);
        addPaths(member, below, paths);
    };
    if (value.isObject()) {
        for (const auto &name : value.getMemberNames())
            addBelow(name, value[name]);
    }
    if (value.isArray()) {
        for (Json::ArrayIndex index = 0; index < value.size(); ++index)
            addBelow(index, value[index]);
    }
}

// Texts that replace a value: too large, negative, of another kind, nested too deeply.
inline std::vector<std::string> oddTokens()
{
    constexpr std::size_t Depth = 5000;
    constexpr std::size_t LongText = 70'000; // more than a row holds
    return {"-1",
            "0",
            "2147483647",
            "2147483648",
            "-9223372036854775808",
            "9223372036854775807",
            "18446744073709551615",
            "99999999999999999999",
            "1e18",
            "1e308",
            "1e400",
            "-1e308",
            "0.5",
            "null",
            "true",
            "[]",
            "{}",
            "[[1],2]",
            R"("")",
            R"("text")",
            R"("10.0.0.1:99999")",
            R"("j.0.0.2147483647")",
            R"("j.99999999999.0.0")",
            R"("\u0000")",
            std::string(Depth, '[') + std::string(Depth, ']'),
            "\"" + std::string(LongText, 'x') + "\""};
}

class odd_texts
{
public:
    explicit odd_texts(const std::string &example)
        : m_root(parseJson(example))
    {
        addPaths(m_root, {}, m_paths);
    }

    // Calls `use` with each variant that has one odd place.
    template <typename Use>
    void forEachSingle(Use use) const
    {
        for (const auto &path : m_paths) {
            for (const auto &token : oddTokens())
                use(replaced(m_root, {{path, token}}));
            if (!path.empty())
                use(compactJson(without(path)));
            for (const auto &text : otherLengths(path))
                use(text);
        }
    }

    // Calls `use` with `count` variants that have a few odd places.
    template <typename Use>
    void forEachDrawn(std::uint64_t seed, int count, Use use) const
    {
        random_generator random(seed);
        const auto tokens = oddTokens();
        for (int number = 0; number < count; ++number) {
            std::vector<std::pair<json_path, std::string>> odd;
            for (std::size_t place = 0; place < 2 + drawIndex(random, 3); ++place)
                odd.emplace_back(m_paths[drawIndex(random, m_paths.size())],
                                 tokens[drawIndex(random, tokens.size())]);
            use(replaced(m_root, odd));
        }
    }

private:
    // A path that another replacement has removed is left out.
    static std::string replaced(Json::Value root,
                                const std::vector<std::pair<json_path, std::string>> &odd)
    {
        std::vector<std::string> used;
        for (const auto &[path, token] : odd) {
            if (!exists(root, path))
                continue;
            valueAt(root, path) = "@odd" + std::to_string(used.size()) + "@";
            used.push_back(token);
        }
        auto text = compactJson(root);
        for (std::size_t number = 0; number < used.size(); ++number) {
            const auto mark = "\"@odd" + std::to_string(number) + "@\"";
            const auto at = text.find(mark);
            if (at != std::string::npos)
                text.replace(at, mark.size(), used[number]);
        }
        return text;
    }

    static bool exists(const Json::Value &root, const json_path &path)
    {
        const auto *value = &root;
        for (const auto &step : path) {
            if (const auto *name = std::get_if<std::string>(&step)) {
                if (!value->isObject() || !value->isMember(*name))
                    return false;
                value = &(*value)[*name];
                continue;
            }
            const auto index = std::get<Json::ArrayIndex>(step);
            if (!value->isArray() || index >= value->size())
                return false;
            value = &(*value)[index];
        }
        return true;
    }

    Json::Value without(const json_path &path) const
    {
        auto root = m_root;
        auto parentPath = path;
        parentPath.pop_back();
        auto &parent = valueAt(root, parentPath);
        if (const auto *name = std::get_if<std::string>(&path.back()))
            parent.removeMember(*name);
        else
            parent.removeIndex(std::get<Json::ArrayIndex>(path.back()), nullptr);
        return root;
    }

    std::vector<std::string> otherLengths(const json_path &path) const
    {
        constexpr Json::ArrayIndex Many = 2000;
        auto root = m_root;
        auto &list = valueAt(root, path);
        if (!list.isArray() || list.empty())
            return {};
        std::vector<std::string> texts;
        const Json::Value first = list[0];
        list.append(first);
        texts.push_back(compactJson(root));
        while (list.size() < Many)
            list.append(first);
        texts.push_back(compactJson(root));
        list.clear();
        texts.push_back(compactJson(root));
        return texts;
    }

    Json::Value m_root;
    std::vector<json_path> m_paths;
};

} // namespace zinniabarrow::tests
