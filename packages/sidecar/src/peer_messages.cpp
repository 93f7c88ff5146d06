#include "laburnumreach/sidecar/peer_messages.hpp"

#include "laburnumreach/config/endpoint.hpp"

namespace laburnumreach::sidecar
{

bool is_valid(const member_record& record)
{
    constexpr std::size_t max_id_bytes = 255;
    return !record.daemon_id.empty() && record.daemon_id.size() <= max_id_bytes && record.peer_port != 0 &&
           config::is_ip_address(record.address);
}

} // namespace laburnumreach::sidecar
