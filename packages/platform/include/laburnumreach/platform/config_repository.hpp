#ifndef LABURNUMREACH_PLATFORM_CONFIG_REPOSITORY_HPP
#define LABURNUMREACH_PLATFORM_CONFIG_REPOSITORY_HPP

#include "laburnumreach/config/config_document.hpp"
#include "laburnumreach/platform/conditional_write.hpp"
#include "laburnumreach/platform/object_store.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumreach::platform
{

/// Name of the object that holds the configuration.
inline constexpr std::string_view config_object_name = "config/current";

/// The configuration document in the platform. Never returns an older revision than one it has seen, so a
/// stale read cannot undo the withdrawal of a key. Not thread safe.
template <object_store Store>
class config_repository
{
public:
    explicit config_repository(Store& used) : store(&used) {}

    /// Reads the current document.
    /// @returns not_found when none was ever stored, invalid_argument for a damaged one, unavailable when the
    ///          platform answered with an older revision than one seen before
    core::result<config::config_document> load()
    {
        const auto current = this->store->get(config_object_name);
        if (!current)
        {
            return tl::unexpected<core::error>{current.error()};
        }
        return this->accept(*current);
    }

    /// Stores a text as the next revision. The text is not parsed here.
    /// @param expected_revision revision that the text was derived from; 0 when there was none
    /// @param operation_id unique id of this update
    /// @returns the stored document; conflict when the current revision is not the expected one, in which
    /// case
    ///          nothing changed; outcome_unknown when it cannot be told whether the update took effect
    core::result<config::config_document> apply(std::string_view text, std::uint64_t expected_revision,
                                                std::string_view operation_id)
    {
        const auto current = this->store->get(config_object_name);
        write_condition condition;
        if (current)
        {
            auto document = this->accept(*current);
            if (!document)
            {
                return document;
            }
            if (document->revision != expected_revision)
            {
                return conflict(expected_revision, document->revision);
            }
            condition = current->version;
        }
        else if (current.error().code != core::error_code::not_found)
        {
            return tl::unexpected<core::error>{current.error()};
        }
        else if (expected_revision != 0 || this->newest_revision != 0)
        {
            return conflict(expected_revision, 0);
        }
        return this->write(condition, {.revision = expected_revision + 1,
                                       .operation_id = std::string{operation_id},
                                       .text = std::string{text}});
    }

    /// Waits for a document newer than the newest seen one.
    /// @returns no value when none came within the timeout
    core::result<std::optional<config::config_document>> watch(std::chrono::milliseconds timeout)
    {
        auto changed = this->store->watch(config_object_name, this->newest_version, timeout);
        if (!changed)
        {
            return tl::unexpected<core::error>{changed.error()};
        }
        if (!changed->has_value())
        {
            return std::nullopt;
        }
        const std::uint64_t before = this->newest_revision;
        auto document = this->accept(**changed);
        if (!document)
        {
            return tl::unexpected<core::error>{document.error()};
        }
        if (document->revision == before)
        {
            return std::nullopt;
        }
        return *std::move(document);
    }

    /// Records a revision whose text came by another way, such as gossip, so that an older one is refused.
    void note_revision(std::uint64_t revision)
    {
        this->newest_revision = std::max(this->newest_revision, revision);
    }

    /// Returns the newest revision seen, or 0.
    std::uint64_t revision() const noexcept { return this->newest_revision; }

private:
    core::result<config::config_document> accept(const object& current)
    {
        // Also counted for a damaged document, or the next watch would return it again at once.
        this->newest_version = std::max(this->newest_version, current.version);
        auto document = config::decode_config_document(current.value);
        if (!document)
        {
            return document;
        }
        if (document->revision < this->newest_revision)
        {
            return core::make_error(core::error_code::unavailable,
                                    "the platform returned configuration revision " +
                                        std::to_string(document->revision) + ", older than " +
                                        std::to_string(this->newest_revision));
        }
        this->newest_revision = document->revision;
        return document;
    }

    core::result<config::config_document> write(const write_condition& condition,
                                                config::config_document document)
    {
        const auto value = config::encode(document);
        if (!value)
        {
            return tl::unexpected<core::error>{value.error()};
        }
        const auto operation_id_of = [](const std::string& stored)
        {
            const auto decoded = config::decode_config_document(stored);
            return decoded ? decoded->operation_id : std::string{};
        };
        const write_result written = write_once(*this->store, config_object_name, condition, *value,
                                                document.operation_id, operation_id_of);
        switch (written.outcome)
        {
        case write_outcome::written:
            this->newest_revision = std::max(this->newest_revision, document.revision);
            this->newest_version = std::max(this->newest_version, written.version);
            return document;
        case write_outcome::conflict:
            return conflict(document.revision - 1, this->revision_of(written.current));
        case write_outcome::refused:
        case write_outcome::unknown:
            break;
        }
        return tl::unexpected<core::error>{written.error};
    }

    static std::uint64_t revision_of(const std::optional<object>& current)
    {
        const core::result<config::config_document> document =
            current ? config::decode_config_document(current->value)
                    : core::make_error(core::error_code::not_found, "");
        return document ? document->revision : 0;
    }

    static tl::unexpected<core::error> conflict(std::uint64_t expected, std::uint64_t found)
    {
        const std::string other =
            found == 0 ? "another configuration or none" : "revision " + std::to_string(found);
        return core::make_error(core::error_code::conflict,
                                "expected configuration revision " + std::to_string(expected) +
                                    ", but the platform has " + other +
                                    "; another operator may have changed it; nothing was changed");
    }

    Store* store;
    std::uint64_t newest_revision = 0;
    object_version newest_version = 0;
};

} // namespace laburnumreach::platform

#endif
