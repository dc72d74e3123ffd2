/// \file
/// Budget of retries.

#pragma once

namespace limpet::admission
{

/// Token bucket that first tries fill and retries empty, so that retries add
/// at most a fixed part to the load. Not thread-safe.
class retry_budget
{
public:
    /// `ratio` is the number of retries allowed for each first try, `burst`
    /// the most that are saved up. The bucket starts full.
    retry_budget(double ratio, double burst);

    /// Counts a first try.
    void on_request();

    /// Takes a retry from the budget. Returns false if it is spent.
    bool try_retry();

private:
    double m_ratio;
    double m_burst;
    double m_tokens;
};

} // namespace limpet::admission
