// A thread-safe bounded queue between actors: several writers, one reader. Writers never wait for
// space.
#pragma once

#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/circular_buffer.hpp>

namespace zinniabarrow {

template <typename T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity)
        : m_items(capacity)
    { }

    // Returns false when the ring is full; the writer must then refuse the work and count it.
    bool push(T &&item)
    {
        const std::lock_guard lock(m_mutex);
        if (m_items.full())
            return false;
        m_items.push_back(std::move(item));
        return true;
    }

    std::optional<T> pop()
    {
        const std::lock_guard lock(m_mutex);
        if (m_items.empty())
            return std::nullopt;
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        return item;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    mutable std::mutex m_mutex;
    boost::circular_buffer<T> m_items;
};

} // namespace zinniabarrow
