#ifndef LABURNUMREACH_STANDIN_UPSTREAM_FAULTS_HPP
#define LABURNUMREACH_STANDIN_UPSTREAM_FAULTS_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/core/random_source.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumreach::standin
{

/// The faults that are switched on at an upstream stand-in. Thread safe.
///
/// Text form, in which every member may be missing:
/// {"slow_factor":1.0, "silent":"none|open|all", "refuse":false, "slow_reader":<bytes/s>,
///  "slow_writer":<bytes/s>, "lie_load":<load>, "lag_load":<announcements>, "stop_announcing":false,
///  "cut_answers":{"probability":1.0,"count":n}, "wrong_length":{..., "delta":-8}, "no_length":{...}}
class upstream_faults
{
public:
    /// Which connections stay without answers.
    enum class silence : std::uint8_t
    {
        none,
        open, ///< Those that are open when the fault is set, for good.
        all,  ///< These and all that are opened while the fault is set.
    };

    /// How an answer is damaged.
    enum class damage : std::uint8_t
    {
        none,
        cut,          ///< Declares the whole length, sends half of it and closes.
        wrong_length, ///< Declares another length than it sends and keeps the connection open.
        no_length,    ///< Declares no length and closes at the end.
    };

    /// Faults that hold until they are replaced.
    struct lasting
    {
        double slow_factor = 1.0;
        silence silent = silence::none;
        bool refuse = false;
        std::size_t reader_bytes_per_second = 0; ///< Zero is unbounded.
        std::size_t writer_bytes_per_second = 0; ///< Zero is unbounded.
        std::optional<double> announced_load{};  ///< Announced instead of the true load.
        std::size_t load_lag = 0;                ///< Number of announcements by which the load lags.
        bool stop_announcing = false;
        std::int64_t length_delta = -8; ///< Declared minus sent bytes of a wrong length.
    };

    explicit upstream_faults(std::uint64_t seed) : random(seed) {}

    /// Replaces all faults.
    /// @returns invalid_argument, with nothing changed, when the text is not as described above
    core::result<void> replace(std::string_view text);

    /// Returns the lasting faults.
    lasting current() const;

    /// Decides how the next answer is damaged, and counts it.
    damage next_damage();

private:
    struct chance
    {
        double probability = 1.0;
        std::optional<std::uint64_t> remaining{}; ///< No value: without bound.
    };

    mutable std::mutex mutex;
    lasting held;
    std::map<damage, chance> damages;
    core::random_source random;
};

} // namespace laburnumreach::standin

#endif
