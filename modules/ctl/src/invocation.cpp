#include <godwit/ctl/invocation.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdlib>

DEFINE_string(entry, "", "addresses of entry processes, IP:PORT[,IP:PORT...], tried in this order");
DEFINE_string(operation, "", "operation id; pass the printed id to send the same command again");
DEFINE_uint64(decided_on, 0,
              "revision the command is based on; the command is refused if its object has "
              "changed since");
DEFINE_bool(dry_run, false, "show what the command would change, without changing it");
DEFINE_string(output, "table", "table or json");
DEFINE_uint32(attempts, 8,
              "maximum passes over the entry processes while the effect of a command is unknown");
DEFINE_string(who, "", "your name in the operation log; default: environment variable USER");

namespace godwit {

namespace {

constexpr auto FlagNames = std::to_array<const char *>(
        {"entry", "operation", "decided_on", "dry_run", "output", "attempts", "who"});

boost::leaf::error_id invalid(const std::string &detail)
{
    return fail(ResultCode::CommandLineInvalid, detail);
}

/// Flag names may be written with '-' or '_'.
std::string canonicalFlagName(std::string name)
{
    for (char &c : name)
        c = c == '-' ? '_' : c;
    return name;
}

bool isKnownFlag(const std::string &name)
{
    for (const char *known : FlagNames) {
        if (name == known)
            return true;
    }
    return false;
}

/// Sets flags in gflags and collects the positional arguments. The parser of gflags is not used
/// because it exits the process with its own exit code at the first invalid flag.
class ArgumentReader
{
public:
    explicit ArgumentReader(const std::vector<std::string> &arguments)
        : m_arguments(arguments)
    {}

    Result<void> read()
    {
        while (m_next < m_arguments.size()) {
            const std::string &argument = m_arguments[m_next++];
            if (!m_flagsEnded && (argument == "--help" || argument == "-h"))
                m_help = true;
            else if (!m_flagsEnded && argument == "--")
                m_flagsEnded = true;
            else if (!m_flagsEnded && argument.size() > 1 && argument.front() == '-')
                BOOST_LEAF_CHECK(readFlag(argument));
            else
                m_positionalArguments.push_back(argument);
        }
        return {};
    }

    bool help() const { return m_help; }
    bool hasDecidedOn() const { return m_hasDecidedOn; }
    const std::vector<std::string> &positionalArguments() const { return m_positionalArguments; }

private:
    Result<void> readFlag(const std::string &argument)
    {
        const std::string text = argument.substr(argument.starts_with("--") ? 2 : 1);
        const auto equals = text.find('=');
        const std::string name = canonicalFlagName(text.substr(0, equals));
        if (!isKnownFlag(name))
            return invalid("unknown flag " + argument + "; see --help");
        std::string value;
        if (equals != std::string::npos)
            value = text.substr(equals + 1);
        else if (gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type == "bool")
            value = "true";
        else if (m_next < m_arguments.size())
            value = m_arguments[m_next++];
        else
            return invalid("flag " + argument + " needs a value");
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            return invalid("flag " + argument + " has an invalid value");
        if (name == "decided_on")
            m_hasDecidedOn = true;
        return {};
    }

    const std::vector<std::string> &m_arguments;
    std::vector<std::string> m_positionalArguments;
    std::size_t m_next = 0;
    bool m_flagsEnded = false;
    bool m_help = false;
    bool m_hasDecidedOn = false;
};

Result<std::vector<HttpEndpoint>> parseEntries(const std::string &text)
{
    std::vector<HttpEndpoint> entries;
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t comma = std::min(text.find(',', start), text.size());
        const auto entry =
                capture([&] { return parseHttpEndpoint(text.substr(start, comma - start)); });
        if (!succeeded(entry))
            return invalid("--entry: " + std::get<1>(entry).detail);
        entries.push_back(std::get<0>(entry));
        start = comma + 1;
    }
    return entries;
}

std::string operatorName()
{
    if (!FLAGS_who.empty())
        return FLAGS_who;
    const char *user = std::getenv("USER");
    return user ? user : "";
}

Result<Invocation> statementInvocation(const std::string &statement, bool hasDecidedOn)
{
    Invocation invocation;
    invocation.action = Invocation::Action::Statement;
    if (FLAGS_output != "table" && FLAGS_output != "json")
        return invalid("--output must be table or json");
    if (FLAGS_output == "json")
        invocation.output = Invocation::Output::Json;
    if (FLAGS_attempts == 0)
        return invalid("--attempts must be at least 1");
    invocation.client.passes = FLAGS_attempts;
    if (FLAGS_entry.empty())
        return invalid("--entry is missing");
    BOOST_LEAF_ASSIGN(invocation.client.entries, parseEntries(FLAGS_entry));
    invocation.request.statement = statement;
    invocation.request.operation = OperationId(FLAGS_operation);
    invocation.request.who = operatorName();
    invocation.request.dryRun = FLAGS_dry_run;
    if (hasDecidedOn)
        invocation.request.decidedOn = Revision{FLAGS_decided_on};
    if (invocation.request.who.empty())
        return invalid("--who is missing");
    return invocation;
}

} // namespace

Result<Invocation> parseArguments(const std::vector<std::string> &arguments)
{
    const gflags::FlagSaver saver; // restores the defaults for the next call
    ArgumentReader reader(arguments);
    BOOST_LEAF_CHECK(reader.read());
    if (reader.help())
        return Invocation();
    if (reader.positionalArguments().size() != 1)
        return invalid("expected one statement in quotation marks; see --help");
    if (reader.positionalArguments().front() == "codes") {
        Invocation invocation;
        invocation.action = Invocation::Action::Codes;
        return invocation;
    }
    return statementInvocation(reader.positionalArguments().front(), reader.hasDecidedOn());
}

std::string helpText()
{
    std::string text = "usage: godwitctl --entry IP:PORT[,IP:PORT...] [flags] \"STATEMENT\"\n"
                       "       godwitctl codes\n"
                       "       godwitctl --help\n\n"
                       "Sends one statement to an entry process. docs/language.md describes the\n"
                       "statements; `codes` prints the result codes as a Markdown page.\n\n"
                       "flags:\n";
    for (const char *name : FlagNames) {
        const auto info = gflags::GetCommandLineFlagInfoOrDie(name);
        std::string displayName = name;
        for (char &c : displayName)
            c = c == '_' ? '-' : c;
        text += "  --" + displayName + "\n      " + info.description + '\n';
    }
    text += "\nexit codes:\n"
            "  0  the command was accepted or the query answered\n"
            "  1  the command was refused; it has no effect\n"
            "  2  a flag or argument is missing or invalid; nothing was sent\n"
            "  3  it is unknown whether the command took effect\n"
            "  4  no entry process accepted the request; the command has no effect\n";
    return text;
}

} // namespace godwit
