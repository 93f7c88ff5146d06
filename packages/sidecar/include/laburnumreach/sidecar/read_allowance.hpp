#ifndef LABURNUMREACH_SIDECAR_READ_ALLOWANCE_HPP
#define LABURNUMREACH_SIDECAR_READ_ALLOWANCE_HPP

#include <algorithm>
#include <cstddef>
#include <limits>

namespace laburnumreach::sidecar
{

/// Number of bytes of responses that the connections to the instance may still read, together, before they
/// wait. The owner renews it when memory becomes free.
class read_allowance
{
public:
    void set(std::size_t bytes) { this->left = bytes; }

    void use(std::size_t bytes) { this->left -= std::min(bytes, this->left); }

    bool used_up() const noexcept { return this->left == 0; }

private:
    std::size_t left = std::numeric_limits<std::size_t>::max();
};

} // namespace laburnumreach::sidecar

#endif
