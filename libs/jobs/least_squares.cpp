#include "jobs/least_squares.h"

#include <algorithm>

namespace zinniabarrow::jobs {

std::size_t least_squares::add(double mean, double deviation)
{
    m_means.push_back(mean);
    m_widest.push_back(deviation * deviation);
    for (auto &line : m_covariance)
        line.push_back(0);
    m_covariance.emplace_back(m_means.size(), 0.0);
    m_covariance.back().back() = m_widest.back();
    return m_means.size() - 1;
}

double least_squares::expected(const std::vector<double> &amounts) const
{
    double sum = 0;
    for (std::size_t index = 0; index < m_means.size(); ++index)
        sum += m_means[index] * amounts[index];
    return sum;
}

void least_squares::correct(const std::vector<double> &amounts, double sum, double noise)
{
    const auto size = m_means.size();
    std::vector<double> spread(size, 0.0); // covariance x amounts
    for (std::size_t line = 0; line < size; ++line) {
        for (std::size_t column = 0; column < size; ++column)
            spread[line] += m_covariance[line][column] * amounts[column];
    }
    double variance = noise * noise;
    for (std::size_t line = 0; line < size; ++line)
        variance += amounts[line] * spread[line];
    const double error = sum - expected(amounts);
    for (std::size_t line = 0; line < size; ++line)
        m_means[line] += spread[line] / variance * error;
    for (std::size_t line = 0; line < size; ++line) {
        for (std::size_t column = 0; column < size; ++column)
            m_covariance[line][column] -= spread[line] * spread[column] / variance;
    }
}

// A variance only ever grows here: cut down alone, without the rest of its line, it would leave a
// matrix that is no covariance, and the next samples would drive the beliefs off without bound.
void least_squares::fade(double keep)
{
    for (std::size_t index = 0; index < m_means.size(); ++index) {
        auto &own = m_covariance[index][index];
        own = std::max(own, std::min(m_widest[index], own / keep));
    }
}

void least_squares::boundBelow(double lowest)
{
    for (auto &mean : m_means)
        mean = std::max(lowest, mean);
}

} // namespace zinniabarrow::jobs
