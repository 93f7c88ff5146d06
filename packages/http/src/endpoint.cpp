#include "laburnumreach/http/endpoint.hpp"

namespace laburnumreach::http
{

std::string to_string(const endpoint& value)
{
    const bool is_ipv6 = value.address.find(':') != std::string::npos;
    const std::string host = is_ipv6 ? "[" + value.address + "]" : value.address;
    return host + ":" + std::to_string(value.port);
}

} // namespace laburnumreach::http
