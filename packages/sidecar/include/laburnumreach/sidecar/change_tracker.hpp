#ifndef LABURNUMREACH_SIDECAR_CHANGE_TRACKER_HPP
#define LABURNUMREACH_SIDECAR_CHANGE_TRACKER_HPP

#include "laburnumreach/sidecar/peer_messages.hpp"

#include <cmath>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumreach::sidecar
{

/// Key and value of an entry that daemons send to each other.
inline std::string entry_key(const customer_demand& entry)
{
    return entry.customer;
}
inline double entry_value(const customer_demand& entry)
{
    return entry.rate;
}
inline std::string entry_key(const call_ratio& entry)
{
    return entry.parent_route + ' ' + entry.child_route;
}
inline double entry_value(const call_ratio& entry)
{
    return entry.calls_per_run;
}

template <typename Entry>
concept trackable_entry = requires(const Entry& entry)
{
    entry_key(entry);
    entry_value(entry);
};

/// Selects the entries to send to one peer because their values changed since they were last sent.
/// Deterministic.
///
/// Most values are small or steady, and daemons probe each other twice a second; sending all values with each
/// probe would cost more than the probes themselves.
template <trackable_entry Entry>
class change_tracker
{
public:
    /// @param min_absolute_change smallest change that is sent, also for a value that was not sent before
    explicit change_tracker(double min_absolute_change) : min_change(min_absolute_change) {}

    /// Forgets the sent values, for a new connection.
    void reset() { this->last_sent.clear(); }

    /// Returns the changed entries and records them as sent.
    std::vector<Entry> take_changes(std::span<const Entry> current)
    {
        std::vector<Entry> changed;
        for (const Entry& entry : current)
        {
            const std::string key = entry_key(entry);
            const auto known = this->last_sent.find(key);
            const double last = known == this->last_sent.end() ? 0.0 : known->second;
            const double value = entry_value(entry);
            if (std::abs(value - last) > std::max(this->min_change, relative_change * last))
            {
                this->last_sent.insert_or_assign(key, value);
                changed.push_back(entry);
            }
        }
        return changed;
    }

private:
    /// Smallest relative change that is sent.
    static constexpr double relative_change = 0.15;

    double min_change;
    std::unordered_map<std::string, double> last_sent; ///< Values by key.
};

} // namespace laburnumreach::sidecar

#endif
