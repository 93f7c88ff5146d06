#include "laburnumreach/config/daemon_settings_toml.hpp"
#include "laburnumreach/core/read_file.hpp"
#include "laburnumreach/daemon/daemon.hpp"
#include "laburnumreach/daemon/log.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <pthread.h>

namespace
{

namespace config = laburnumreach::config;
namespace core = laburnumreach::core;
namespace daemon = laburnumreach::daemon;

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 1;
constexpr int exit_cut_requests = 3;

/// Blocks the signals in all threads started later, so that only wait_for_stop takes them.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const std::string& settings_path, bool check_only)
{
    const std::optional<std::string> text = core::read_file(settings_path);
    if (!text)
    {
        std::cerr << settings_path << ": cannot be read\n";
        return exit_bad_settings;
    }
    const auto settings =
        config::parse_daemon_settings(*text, std::filesystem::path{settings_path}.parent_path());
    if (!settings)
    {
        std::cerr << settings_path << ":\n" << config::to_string(settings.error()) << '\n';
        return exit_bad_settings;
    }
    if (check_only)
    {
        std::cout << "settings are valid\n";
        return 0;
    }
    const sigset_t signals = block_stop_signals();
    daemon::configure_log(settings->level);
    const auto started = daemon::daemon::start(*settings);
    if (!started)
    {
        std::cerr << started.error().message << '\n';
        return exit_cannot_start;
    }
    std::cout << "ready" << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return (*started)->shut_down() ? 0 : exit_cut_requests;
}

} // namespace

/// The daemon beside each upstream.
int main(int argc, char** argv)
{
    CLI::App app{"laburnumreach daemon: overload control beside an upstream"};
    std::string settings_path;
    bool check_only = false;
    app.add_option("--settings", settings_path, "TOML file with the daemon's settings")->required();
    app.add_flag("--check", check_only, "check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    try
    {
        return run(settings_path, check_only);
    }
    catch (const std::exception& fault)
    {
        std::cerr << "laburnumreachd: " << fault.what() << '\n';
        return exit_cannot_start;
    }
}
