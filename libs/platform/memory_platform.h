// The platform's table and object store, kept in memory. Used by the stand-in for the platform
// (standins/platform.cpp), a server for tests and trials, and as a fake in tests. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/records.h"

namespace zinniabarrow {

class memory_platform
{
public:
    // --- Table.
    write_result commit(const table_transaction &transaction);
    std::optional<table_row> read(const std::string &key) const;
    std::vector<table_row> scan(const std::string &prefix) const; // sorted by key
    // Incremented by every applied transaction and every applied write or removal of an object.
    std::uint64_t sequence() const { return m_sequence; }

    // --- Object store. With `expected`, the write is applied only if the object still has that
    // version (0: it must not exist). Versions come from sequence(), so they go on rising when an
    // object is removed and written anew.
    write_result putObject(const std::string &name, const std::string &content,
                           std::optional<std::uint64_t> expected);
    write_result removeObject(const std::string &name, std::optional<std::uint64_t> expected);
    std::optional<stored_object> getObject(const std::string &name) const;
    // Returns the objects without their content.
    std::vector<stored_object> listObjects(const std::string &prefix) const;

private:
    std::uint64_t m_sequence = 0;
    std::map<std::string, table_row> m_rows;
    std::map<std::string, stored_object> m_objects;
};

} // namespace zinniabarrow
