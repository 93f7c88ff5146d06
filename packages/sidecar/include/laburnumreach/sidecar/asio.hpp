#ifndef LABURNUMREACH_SIDECAR_ASIO_HPP
#define LABURNUMREACH_SIDECAR_ASIO_HPP

// Boost 1.74 uses std::exchange in this header without including its declaration.
#include <utility>

#include <boost/asio.hpp>

namespace laburnumreach::sidecar
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

/// Returns the TCP endpoint of an IP address and a port.
/// @throws boost::system::system_error if the address is not an IP address
inline tcp::endpoint make_endpoint(const std::string& address, std::uint16_t port)
{
    return {asio::ip::make_address(address), port};
}

} // namespace laburnumreach::sidecar

#endif
