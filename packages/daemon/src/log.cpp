#include "laburnumreach/daemon/log.hpp"

#include <algorithm>
#include <cctype>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace laburnumreach::daemon
{

void configure_log(config::log_level level)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format,
                         "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%levshort %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    const auto enable = [&](el::Level kind, config::log_level minimum)
    { settings.set(kind, el::ConfigurationType::Enabled, level <= minimum ? "true" : "false"); };
    enable(el::Level::Debug, config::log_level::debug);
    enable(el::Level::Info, config::log_level::info);
    enable(el::Level::Warning, config::log_level::warning);
    enable(el::Level::Error, config::log_level::error);
    el::Loggers::reconfigureAllLoggers(settings);
    el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
}

std::string quote_log_value(std::string_view value)
{
    const bool plain =
        !value.empty() &&
        std::all_of(value.begin(), value.end(),
                    [](unsigned char character) { return std::isgraph(character) != 0 && character != '"'; });
    if (plain)
    {
        return std::string{value};
    }
    std::string quoted = "\"";
    for (const unsigned char character : value)
    {
        if (character == '"' || character == '\\')
        {
            quoted += '\\';
        }
        quoted += std::isprint(character) != 0 ? static_cast<char>(character) : '?';
    }
    return quoted + '"';
}

void log_line(config::log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line = "event=" + std::string{event};
    for (const log_field& field : fields)
    {
        line += ' ';
        line += field.name;
        line += '=';
        line += quote_log_value(field.value);
    }
    switch (level)
    {
    case config::log_level::debug:
        LOG(DEBUG) << line;
        break;
    case config::log_level::info:
        LOG(INFO) << line;
        break;
    case config::log_level::warning:
        LOG(WARNING) << line;
        break;
    case config::log_level::error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace laburnumreach::daemon
