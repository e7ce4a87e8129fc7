// Callbacks that wait for writes of the job controller. Each is stored under a token, which the
// controller returns when the write's outcome is known.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace zinniabarrow {

class write_callbacks
{
public:
    // `isStored`: true if this process stored the change; false if another process owns or has
    // already stored what was to be written.
    using write_callback = std::function<void(bool isStored)>;

    // Returns the token under which the callback is resolved.
    std::int64_t add(write_callback callback)
    {
        const auto token = m_nextToken++;
        m_callbacks.emplace(token, std::move(callback));
        return token;
    }

    // Calls and removes the token's callback. Unknown or already resolved tokens are ignored.
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
