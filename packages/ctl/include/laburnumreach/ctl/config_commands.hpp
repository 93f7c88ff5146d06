#ifndef LABURNUMREACH_CTL_CONFIG_COMMANDS_HPP
#define LABURNUMREACH_CTL_CONFIG_COMMANDS_HPP

#include "laburnumreach/config/fleet_config_toml.hpp"
#include "laburnumreach/config/fleet_edit.hpp"
#include "laburnumreach/ctl/config_text.hpp"
#include "laburnumreach/ctl/random_text.hpp"
#include "laburnumreach/ctl/report.hpp"
#include "laburnumreach/platform/config_repository.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::ctl
{

/// Commands on the configuration document of the platform.
template <platform::object_store Store>
class config_commands
{
public:
    explicit config_commands(Store& used) : repository(used) {}

    /// Shows the current text after a comment with its revision. The comment of an earlier show that was
    /// applied with the text is left out.
    report show()
    {
        const auto document = this->repository.load();
        if (!document)
        {
            return document.error().code == core::error_code::not_found ? absent_report()
                                                                        : error_report(document.error());
        }
        std::string_view shown = document->text;
        if (shown.starts_with(revision_comment))
        {
            shown.remove_prefix(std::min(shown.find('\n'), shown.size() - 1) + 1);
        }
        return {.code = exit_code::ok,
                .text = std::string{revision_comment} + std::to_string(document->revision) + "\n" +
                        std::string{shown},
                .json = {{"revision", document->revision},
                         {"operation_id", document->operation_id},
                         {"text", document->text}}};
    }

    /// Shows what applying a text would change.
    report diff(std::string_view source, std::string_view text)
    {
        return this->compare(
            source, text,
            [](const current_config& current, const changes& wanted)
            {
                report result{.code = exit_code::ok, .text = {}, .json = {{"revision", current.revision}}};
                add_changes(result, wanted);
                return result;
            });
    }

    /// Stores a text.
    /// @param expected revision that the operator expects to replace; without one, the revision read now
    report apply(std::string_view source, std::string_view text, std::optional<std::uint64_t> expected)
    {
        return this->compare(source, text,
                             [&](const current_config& current, const changes& wanted)
                             {
                                 const std::uint64_t replaced = expected.value_or(current.revision);
                                 if (current.text == text && replaced == current.revision)
                                 {
                                     return unchanged_report(current.revision);
                                 }
                                 return this->store(text, replaced, wanted);
                             });
    }

    /// Changes the current configuration and stores it. The text is written anew, without its comments.
    /// @param change takes a fleet_config& and returns core::result<void>
    /// @param tries how often the edit is made on a newer text after a conflict, and once more
    template <typename Change>
    report edit(const Change& change, unsigned tries = 1)
    {
        report result = this->edit_once(change);
        for (unsigned made = 1; made < tries && result.code == exit_code::conflict; ++made)
        {
            result = this->edit_once(change);
        }
        return result;
    }

private:
    static constexpr std::string_view revision_comment = "# revision ";

    struct current_config
    {
        std::uint64_t revision = 0; ///< 0 when there is none.
        std::string text;
        config::fleet_config parsed;
    };

    using changes = std::vector<config::fleet_change>;

    /// Checks a text and passes the current configuration and the changes to it.
    template <typename Next>
    report compare(std::string_view source, std::string_view text, const Next& next)
    {
        const auto wanted = config::parse_fleet_config(text);
        if (!wanted)
        {
            return fault_report(source, wanted.error());
        }
        const auto current = this->load_current();
        if (!current)
        {
            return error_report(current.error());
        }
        return next(*current, config::diff_fleet_config(current->parsed, *wanted));
    }

    core::result<current_config> load_current()
    {
        auto document = this->repository.load();
        if (!document && document.error().code == core::error_code::not_found)
        {
            return current_config{};
        }
        if (!document)
        {
            return tl::unexpected<core::error>{document.error()};
        }
        auto parsed = config::parse_fleet_config(document->text);
        if (!parsed)
        {
            return core::make_error(core::error_code::invalid_argument,
                                    "the stored text of revision " + std::to_string(document->revision) +
                                        " is not valid:\n" + config::to_string(parsed.error()));
        }
        return current_config{
            .revision = document->revision, .text = std::move(document->text), .parsed = *std::move(parsed)};
    }

    template <typename Change>
    report edit_once(const Change& change)
    {
        const auto current = this->load_current();
        if (!current)
        {
            return error_report(current.error());
        }
        if (current->revision == 0)
        {
            return absent_report();
        }
        config::fleet_config edited = current->parsed;
        if (const core::result<void> changed = change(edited); !changed)
        {
            report refused = error_report(changed.error());
            // A conflict with the content of the text is not a race: repeating the edit cannot help.
            refused.code = exit_code::refused;
            return refused;
        }
        if (edited == current->parsed)
        {
            return unchanged_report(current->revision);
        }
        const auto text = config::checked_toml(edited);
        if (!text)
        {
            return fault_report("edited text", text.error());
        }
        report result =
            this->store(*text, current->revision, config::diff_fleet_config(current->parsed, edited));
        if (result.code == exit_code::ok && current->text.find('#') != std::string::npos)
        {
            result.text += "The text was written anew; its comments were not kept.\n";
        }
        return result;
    }

    report store(std::string_view text, std::uint64_t expected, const changes& made)
    {
        const auto stored = this->repository.apply(text, expected, random_hex(16));
        if (!stored)
        {
            return error_report(stored.error());
        }
        report result{.code = exit_code::ok, .text = {}, .json = {{"revision", stored->revision}}};
        add_changes(result, made);
        result.text += "revision " + std::to_string(stored->revision) + " is stored\n";
        return result;
    }

    static report absent_report()
    {
        return error_report(
            {.code = core::error_code::not_found, .message = "no configuration was applied yet"});
    }

    static report unchanged_report(std::uint64_t revision)
    {
        report result{.code = exit_code::ok, .text = {}, .json = {{"revision", revision}}};
        add_changes(result, {});
        return result;
    }

    platform::config_repository<Store> repository;
};

} // namespace laburnumreach::ctl

#endif
