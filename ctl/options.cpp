#include "options.h"

#include "core/text.h"
#include "files.h"

#include <gflags/gflags.h>

#include <algorithm>

// gflags fixes the form of flag definitions.
// NOLINTBEGIN
DEFINE_string(address, "127.0.0.1:8082", "administration listeners, repeatable or comma-separated");
DEFINE_string(token_file, "", "file whose first line is the bearer token");
DEFINE_bool(json, false, "print JSON instead of text");
DEFINE_bool(wait, false, "wait until a change is in force everywhere");
DEFINE_int32(timeout, 10, "seconds that a call and a wait may take");
DEFINE_string(confirm, "", "token that confirms the plan of a sheet");
DEFINE_string(reason, "", "reason that is recorded with a decision");
DEFINE_string(service, "", "service to explain");
DEFINE_string(request, "", "id of the request to explain");
DEFINE_string(host, "", "host of a request that isn't sent");
DEFINE_string(target, "", "path of a request that isn't sent");
DEFINE_string(change_id, "", "change id of an earlier try whose outcome is unknown");
DEFINE_int64(revision, -1, "revision that a configuration is based on");
// NOLINTEND

namespace crocusreach::ctl {

namespace {

constexpr std::string_view help = R"(crocusreachctl - operate a crocusreach query tier

Usage: crocusreachctl COMMAND [FLAGS]

What should be in service
  sheet check FILE       check a morning sheet (CSV); changes nothing
  sheet diff FILE        show what the sheet would change
  sheet apply FILE       apply the sheet, whole or not at all
  domain out NAME        take a failure domain out of service
  domain in NAME         return it to service
  domain status [NAME]   show the states and the last decisions
  service, instance      take out, in and status in the same way

What is declared
  config get             print the configuration, with its revision in the first line
  config diff FILE       show what the file would change
  config apply FILE      replace the configuration
  config history         list the last changes

What is going on
  status                 the instance, the members of its cell and the leafs that it holds
  explain --service S    the most likely place of a fault, with the evidence
  explain --request ID [LOG...]
                         the same for one request, from the log of one instance a file, or from
                         standard input; asks no instance
  explain --host H --target PATH
                         where a front would send such a request now, and why; sends nothing. The
                         address is that of the front's metrics
  settings check FILE    check the settings file of an instance; asks no instance

Flags
  --address IP:PORT      administration listener; repeat it or separate by commas to have others
                         tried if the first doesn't answer (default 127.0.0.1:8082)
  --token_file FILE      file whose first line is your bearer token
  --reason TEXT          recorded with a decision
  --confirm TOKEN        confirms the plan of a sheet; 'sheet apply' prints the token if needed
  --wait                 wait until a change is in force everywhere
  --timeout SECONDS      for a call and for a wait (default 10)
  --revision N           revision that a configuration file is based on; by default the one in its
                         first line, as 'config get' writes it
  --change_id ID         repeat an earlier try whose outcome is unknown
  --json                 print JSON
  --help, --version

Exit codes: 0 success, 1 failure, 2 bad usage or settings, 4 changed by somebody else,
5 confirmation needed, 6 the store or the instances can't be reached.

Example: take a failure domain out, and wait until no instance sends it new work
  crocusreachctl domain out muar-a --reason "power work" --wait --token_file ~/token
)";

struct Flag
{
    std::string name;
    std::optional<std::string> value;
};

auto usageError(std::string flag, std::string text) -> Error
{
    return {Step::Settings, std::move(flag), std::move(text)};
}

auto splitFlag(std::string_view argument) -> Flag
{
    argument.remove_prefix(argument.starts_with("--") ? 2 : 1);
    const auto equals = argument.find('=');
    if (equals == std::string_view::npos)
        return {std::string(argument), std::nullopt};
    return {std::string(argument.substr(0, equals)), std::string(argument.substr(equals + 1))};
}

auto isSwitch(const std::string &name) -> bool
{
    return name == "json" || name == "wait";
}

auto isFlag(const std::string &name) -> bool
{
    auto info = gflags::CommandLineFlagInfo();
    // The library's own flags aren't part of the interface.
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info)
           && info.filename.find("options.cpp") != std::string::npos;
}

auto addAddresses(std::string_view list, std::vector<std::string> &addresses) -> void
{
    for (const auto address : splitList(list)) {
        if (!address.empty())
            addresses.emplace_back(address);
    }
}

// Sets one flag; the value may be the next argument. Returns how many arguments it took.
auto takeFlag(std::span<const std::string> arguments, Options &options) -> Result<std::size_t>
{
    auto flag = splitFlag(arguments.front());
    if (!isFlag(flag.name))
        return usageError("--" + flag.name, "unknown flag; see --help");
    auto taken = std::size_t(1);
    if (!flag.value && isSwitch(flag.name))
        flag.value = "true";
    if (!flag.value) {
        if (arguments.size() < 2)
            return usageError("--" + flag.name, "needs a value");
        flag.value = arguments[1];
        taken = 2;
    }
    if (flag.name == "address")
        addAddresses(*flag.value, options.addresses);
    else if (gflags::SetCommandLineOption(flag.name.c_str(), flag.value->c_str()).empty())
        return usageError("--" + flag.name, "has a wrong value");
    return taken;
}

auto readToken(Options &options) -> std::optional<Error>
{
    if (FLAGS_token_file.empty())
        return std::nullopt;
    auto text = readFile(FLAGS_token_file);
    if (isError(text))
        return std::get<Error>(std::move(text));
    const auto &content = std::get<std::string>(text);
    options.token = content.substr(0, content.find_first_of("\r\n"));
    return std::nullopt;
}

auto takeFlagValues(Options &options) -> std::optional<Error>
{
    if (FLAGS_timeout <= 0)
        return usageError("--timeout", "must be at least 1");
    if (options.addresses.empty())
        addAddresses(FLAGS_address, options.addresses);
    options.timeout = std::chrono::seconds(FLAGS_timeout);
    options.json = FLAGS_json;
    options.wait = FLAGS_wait;
    options.confirm = FLAGS_confirm;
    options.reason = FLAGS_reason;
    options.service = FLAGS_service;
    options.request = FLAGS_request;
    options.host = FLAGS_host;
    options.target = FLAGS_target;
    options.changeId = FLAGS_change_id;
    if (FLAGS_revision >= 0)
        options.revision = static_cast<std::uint64_t>(FLAGS_revision);
    return readToken(options);
}

} // namespace

auto parseOptions(std::span<const std::string> arguments) -> Result<Options>
{
    auto options = Options();
    while (!arguments.empty()) {
        const auto &argument = arguments.front();
        if (argument == "--help" || argument == "-h" || argument == "help") {
            options.mode = Mode::Help;
            return options;
        }
        if (argument == "--version") {
            options.mode = Mode::Version;
            return options;
        }
        auto taken = std::size_t(1);
        if (argument.size() > 1 && argument.front() == '-') {
            auto result = takeFlag(arguments, options);
            if (isError(result))
                return std::get<Error>(std::move(result));
            taken = std::get<std::size_t>(result);
        } else {
            options.words.push_back(argument);
        }
        arguments = arguments.subspan(taken);
    }
    if (auto error = takeFlagValues(options))
        return *error;
    return options;
}

auto helpText() -> std::string_view
{
    return help;
}

} // namespace crocusreach::ctl
