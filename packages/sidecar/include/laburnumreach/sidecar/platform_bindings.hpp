#ifndef LABURNUMREACH_SIDECAR_PLATFORM_BINDINGS_HPP
#define LABURNUMREACH_SIDECAR_PLATFORM_BINDINGS_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/sidecar/header_names.hpp"
#include "laburnumreach/sidecar/instance_state.hpp"
#include "laburnumreach/sidecar/routing_config.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace laburnumreach::sidecar
{

/// The instance ended or is about to; it gets no new work.
struct instance_deregistration
{
    std::string id;
};

/// A request on the control address that names no instance to use.
struct invalid_announcement
{
    std::string reason;
};

/// What an upstream says on the control address.
using announcement = std::variant<instance_heartbeat, instance_deregistration, invalid_announcement>;

/// The platform's names and formats, as functions into the project's types. Nothing here decides.
struct platform_bindings
{
    header_names headers;
    std::function<core::result<std::shared_ptr<const routing_config>>(const std::string& document)>
        decode_config;
    std::function<announcement(std::string_view method, std::string_view target, std::string_view body)>
        decode_announcement;
    std::string acknowledgement;        ///< Body of the answer to an announcement.
    std::string acknowledgement_fields; ///< Header fields of that answer, in wire form.
};

} // namespace laburnumreach::sidecar

#endif
