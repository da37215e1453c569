#include "standins.h"

#include "formats/configurationjson.h"

#include <gflags/gflags.h>
#include <glib-unix.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

// Runs the stand-ins until SIGTERM or SIGINT.

DEFINE_string(configuration, "", "configuration file; a target is started for each leaf");
DEFINE_string(write_configuration, "", "file for the configuration with the targets' real ports");
DEFINE_string(ports_file, "", "file for all addresses, as JSON");
DEFINE_bool(store_configuration, true, "write the configuration to the stand-in store");
DEFINE_string(store_address, "127.0.0.1:0", "IP:port of the object API");
DEFINE_string(list_address, "127.0.0.1:0", "IP:port of the instance list");
DEFINE_string(control_address, "127.0.0.1:0", "IP:port of the control API");
DEFINE_double(median_ms, 2, "median service time of targets");
DEFINE_double(sigma, 0.25, "spread of the log-normal service time");
DEFINE_double(straggler_probability, 0.005, "part of the searches that straggle");
DEFINE_double(straggler_ms, 60, "time added to a straggler");
DEFINE_double(cold_ms, 3000, "time from a target's start until it is warm");
DEFINE_bool(start_cold, false, "start the targets cold");
DEFINE_uint32(threads, 2, "threads that serve targets");
DEFINE_uint64(seed, 1, "seed of all random choices");

namespace {

using namespace crocusreach;

// Replaces the file in one step, so that a reader that waits for it sees all of it.
auto writeFile(const std::string &path, const std::string &text) -> void
{
    if (path.empty())
        return;
    const auto temporary = path + ".tmp";
    std::ofstream(temporary) << text;
    std::filesystem::rename(temporary, path);
}

auto readFile(const std::string &path) -> std::string
{
    auto text = std::ostringstream();
    text << std::ifstream(path).rdbuf();
    return text.str();
}

auto targetDefaults() -> standins::TargetSettings
{
    auto settings = standins::TargetSettings();
    settings.serviceTime
            = {FLAGS_median_ms, FLAGS_sigma, FLAGS_straggler_probability, FLAGS_straggler_ms};
    settings.coldMs = FLAGS_cold_ms;
    settings.startCold = FLAGS_start_cold;
    return settings;
}

auto writePorts(const standins::Standins &all, const Configuration &configuration) -> std::string
{
    auto targets = nlohmann::json::object();
    for (const auto &service : configuration.services) {
        for (const auto &leaf : service.leafs)
            targets[service.name + "/" + leaf.name] = leaf.address;
    }
    return nlohmann::json{{"store", all.storeAddress()},
                          {"instance_list", all.listAddress()},
                          {"control", all.controlAddress()},
                          {"targets", targets}}
            .dump(2);
}

auto waitForStop() -> void
{
    auto *loop = g_main_loop_new(nullptr, FALSE);
    const auto quit = [](gpointer data) -> gboolean {
        g_main_loop_quit(static_cast<GMainLoop *>(data));
        return G_SOURCE_CONTINUE;
    };
    g_unix_signal_add(SIGTERM, quit, loop);
    g_unix_signal_add(SIGINT, quit, loop);
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
}

auto run() -> int
{
    auto all = standins::Standins({FLAGS_store_address, FLAGS_list_address, FLAGS_control_address,
                                   FLAGS_threads, FLAGS_seed});
    auto configuration = Configuration();
    if (!FLAGS_configuration.empty()) {
        auto parsed = parseConfiguration(readFile(FLAGS_configuration), FLAGS_configuration);
        if (isError(parsed)) {
            std::cerr << describe(std::get<Error>(parsed)) << '\n';
            return 2;
        }
        configuration = std::get<Configuration>(std::move(parsed));
        all.addTargets(configuration, targetDefaults());
        const auto written = writeConfiguration(configuration);
        if (FLAGS_store_configuration)
            all.change([&](standins::ObjectStore &store, standins::InstanceList &) {
                store.write("config/current", written);
            });
        writeFile(FLAGS_write_configuration, written);
    }
    writeFile(FLAGS_ports_file, writePorts(all, configuration));
    waitForStop();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("stand-ins for the platform and the targets, for tests and the demo");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
