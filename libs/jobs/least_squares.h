// Recursive least squares: estimates the coefficients of a linear sum, updated sample by sample.
// The joint covariance is kept, so that the effect of inputs that occur only together is divided
// between them until one of them is seen without the other.
#pragma once

#include <cstddef>
#include <vector>

namespace zinniabarrow::jobs {

class least_squares
{
public:
    // Adds a coefficient with its prior; returns its index.
    std::size_t addCoefficient(double mean, double deviation);
    std::size_t size() const { return m_means.size(); }
    double mean(std::size_t index) const { return m_means[index]; }
    double predict(const std::vector<double> &inputs) const; // the expected sum

    // Takes one measured sum into account; `noise` is its standard deviation.
    void update(const std::vector<double> &inputs, double sum, double noise);
    // Reduces the weight of old samples by a factor below 1: the variances grow, up to the prior's.
    void applyForgetting(double forgettingFactor);
    void clampToMinimum(double minimum); // raises all lower coefficients to it

private:
    std::vector<double> m_means;
    std::vector<double> m_initialVariances; // of the priors
    std::vector<std::vector<double>> m_covariance;
};

} // namespace zinniabarrow::jobs
