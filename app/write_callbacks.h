// What waits for a write of the job book: each under a token that the book gives back.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace zinniabarrow {

class write_callbacks
{
public:
    // Stored by this process; false: another one has what was to be written.
    using write_callback = std::function<void(bool isStored)>;

    std::int64_t add(write_callback callback)
    {
        const auto token = m_nextToken++;
        m_callbacks.emplace(token, std::move(callback));
        return token;
    }

    // Ignores a token that is not, or no longer, waited for.
    void resolve(std::int64_t token, bool isStored)
    {
        auto found = m_callbacks.extract(token);
        if (!found.empty())
            found.mapped()(isStored);
    }

private:
    std::map<std::int64_t, write_callback> m_callbacks;
    std::int64_t m_nextToken = 1;
};

} // namespace zinniabarrow
