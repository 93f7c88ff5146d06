#ifndef LABURNUMREACH_CORE_READ_FILE_HPP
#define LABURNUMREACH_CORE_READ_FILE_HPP

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace laburnumreach::core
{

/// Returns the content of a file, or no value when it cannot be read.
inline std::optional<std::string> read_file(const std::string& path)
{
    const std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return file ? std::optional{text.str()} : std::nullopt;
}

} // namespace laburnumreach::core

#endif
