/// \file
/// Retry budget.

#pragma once

namespace limpet::admission
{

/// Token bucket that first attempts fill and retries drain, so that retries add
/// at most a fixed fraction to the load. Not thread-safe.
class retry_budget
{
public:
    /// `ratio` is the number of retries allowed per first attempt, `burst` the
    /// capacity of the bucket in retries. The bucket starts full.
    retry_budget(double ratio, double burst);

    /// Records a first attempt.
    void on_request();

    /// Consumes one retry. Returns false if the budget is exhausted.
    bool try_retry();

private:
    double m_ratio;
    double m_burst;
    double m_tokens;
};

} // namespace limpet::admission
