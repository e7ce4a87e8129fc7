// The latest few ratios of a moving quantity and their median, which single outliers don't move.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace zinniabarrow::jobs {

class recent_ratios
{
public:
    static constexpr std::size_t Capacity = 7; // odd; three outliers don't reach the median

    void add(double ratio) { m_values[m_added++ % Capacity] = ratio; }
    std::size_t size() const { return std::min(m_added, Capacity); }
    double median() const // 1 while empty
    {
        if (m_added == 0)
            return 1;
        auto sorted = m_values;
        const auto middle = static_cast<std::ptrdiff_t>((size() - 1) / 2);
        std::nth_element(sorted.begin(), sorted.begin() + middle,
                         sorted.begin() + static_cast<std::ptrdiff_t>(size()));
        return sorted[static_cast<std::size_t>(middle)];
    }

private:
    std::array<double, Capacity> m_values{};
    std::size_t m_added = 0;
};

} // namespace zinniabarrow::jobs
