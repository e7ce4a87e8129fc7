#include "jobs/least_squares.h"

#include <algorithm>

namespace zinniabarrow::jobs {

std::size_t least_squares::addCoefficient(double mean, double deviation)
{
    m_means.push_back(mean);
    m_initialVariances.push_back(deviation * deviation);
    for (auto &row : m_covariance)
        row.push_back(0);
    m_covariance.emplace_back(m_means.size(), 0.0);
    m_covariance.back().back() = m_initialVariances.back();
    return m_means.size() - 1;
}

double least_squares::predict(const std::vector<double> &inputs) const
{
    double sum = 0;
    for (std::size_t index = 0; index < m_means.size(); ++index)
        sum += m_means[index] * inputs[index];
    return sum;
}

void least_squares::update(const std::vector<double> &inputs, double sum, double noise)
{
    const auto size = m_means.size();
    std::vector<double> gain(size, 0.0); // covariance x inputs
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t column = 0; column < size; ++column)
            gain[row] += m_covariance[row][column] * inputs[column];
    }
    double variance = noise * noise;
    for (std::size_t row = 0; row < size; ++row)
        variance += inputs[row] * gain[row];
    const double error = sum - predict(inputs);
    for (std::size_t row = 0; row < size; ++row)
        m_means[row] += gain[row] / variance * error;
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t column = 0; column < size; ++column)
            m_covariance[row][column] -= gain[row] * gain[column] / variance;
    }
}

// Variances only grow here. If one were reduced without the rest of its row, the matrix would no
// longer be a covariance, and the next samples would make the estimates diverge.
void least_squares::applyForgetting(double forgettingFactor)
{
    for (std::size_t index = 0; index < m_means.size(); ++index) {
        auto &ownVariance = m_covariance[index][index];
        ownVariance = std::max(ownVariance,
                               std::min(m_initialVariances[index], ownVariance / forgettingFactor));
    }
}

void least_squares::clampToMinimum(double minimum)
{
    for (auto &mean : m_means)
        mean = std::max(minimum, mean);
}

} // namespace zinniabarrow::jobs
