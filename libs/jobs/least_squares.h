// Recursive least squares: what is believed of the coefficients of a sum, corrected sample by
// sample. The joint covariance is kept, so that amounts that come and go together share what is
// learned until one of them is seen without the other.
#pragma once

#include <cstddef>
#include <vector>

namespace zinniabarrow::jobs {

class least_squares
{
public:
    // Adds a coefficient and gives its index.
    std::size_t addCoefficient(double mean, double deviation);
    std::size_t size() const { return m_means.size(); }
    double mean(std::size_t index) const { return m_means[index]; }
    double predict(const std::vector<double> &inputs) const; // the sum, as believed

    // One measured sum; `noise` is its deviation.
    void update(const std::vector<double> &inputs, double sum, double noise);
    // Old samples lose weight: uncertainty grows, up to that of the beginning.
    void applyForgetting(double forgettingFactor);
    void clampBelow(double lowest); // of all coefficients

private:
    std::vector<double> m_means;
    std::vector<double> m_initialVariances; // variance at the beginning
    std::vector<std::vector<double>> m_covariance;
};

} // namespace zinniabarrow::jobs
