#include "platform/memory_platform.h"

namespace zinniabarrow {

namespace {

template <typename Map>
std::uint64_t versionOf(const Map &map, const std::string &key)
{
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second.version;
}

} // namespace

write_result memory_platform::commit(const table_transaction &transaction)
{
    for (const auto &condition : transaction.conditions) {
        if (versionOf(m_rows, condition.key) != condition.version)
            return {write_outcome::Conflict, 0, condition.key};
    }
    ++m_sequence;
    for (const auto &write : transaction.writes) {
        if (write.value)
            m_rows[write.key] = table_row{write.key, *write.value, m_sequence};
        else
            m_rows.erase(write.key);
    }
    return {write_outcome::Applied, m_sequence, {}};
}

std::optional<table_row> memory_platform::read(const std::string &key) const
{
    const auto found = m_rows.find(key);
    if (found == m_rows.end())
        return std::nullopt;
    return found->second;
}

std::vector<table_row> memory_platform::scan(const std::string &prefix) const
{
    std::vector<table_row> rows;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end(); ++it) {
        if (!it->first.starts_with(prefix))
            break;
        rows.push_back(it->second);
    }
    return rows;
}

write_result memory_platform::putObject(const std::string &name, const std::string &content,
                                        std::optional<std::uint64_t> expected)
{
    if (expected && versionOf(m_objects, name) != *expected)
        return {write_outcome::Conflict, 0, name};
    m_objects[name] = stored_object{name, content, ++m_sequence};
    return {write_outcome::Applied, m_sequence, {}};
}

write_result memory_platform::removeObject(const std::string &name,
                                           std::optional<std::uint64_t> expected)
{
    if (expected && versionOf(m_objects, name) != *expected)
        return {write_outcome::Conflict, 0, name};
    m_objects.erase(name);
    return {write_outcome::Applied, ++m_sequence, {}};
}

std::optional<stored_object> memory_platform::getObject(const std::string &name) const
{
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return std::nullopt;
    return found->second;
}

std::vector<stored_object> memory_platform::listObjects(const std::string &prefix) const
{
    std::vector<stored_object> objects;
    for (auto it = m_objects.lower_bound(prefix); it != m_objects.end(); ++it) {
        if (!it->first.starts_with(prefix))
            break;
        objects.push_back(stored_object{it->second.name, {}, it->second.version});
    }
    return objects;
}

} // namespace zinniabarrow
