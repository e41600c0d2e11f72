#include "adapters/settings/settings.h"

#include "adapters/logging/log.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <optional>
#include <toml++/toml.h>

namespace goldcrestline::adapters::settings {

using core::Error;
using core::ResultCode;

namespace {

constexpr std::size_t maxNameLength = 64;

bool isName(const std::string &text)
{
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_';
    };
    return !text.empty() && text.size() <= maxNameLength
        && std::all_of(text.begin(), text.end(), allowed);
}

bool matches(TextFormat format, const std::string &text)
{
    switch (format) {
    case TextFormat::Any:
        return true;
    case TextFormat::Name:
        return isName(text);
    case TextFormat::Address:
        return isAddress(text);
    }
    return false;
}

const char *describe(TextFormat format)
{
    switch (format) {
    case TextFormat::Any:
        return "a string";
    case TextFormat::Name:
        return "a name of letters, digits, '-' and '_'";
    case TextFormat::Address:
        return "an IP address with a port, as in \"127.0.0.1:7000\"";
    }
    return "";
}

// Loads one file into a settings tree. Stops at the first error.
class Loader
{
public:
    explicit Loader(std::string file) : m_file(std::move(file)) { }

    std::optional<Error> load(Section &section, const toml::table &table, const std::string &path)
    {
        for (const auto &[key, value] : table) {
            const std::string name(key.str());
            const auto &children = section.children();
            const auto it = std::find_if(children.begin(), children.end(),
                                         [&](const Node *node) { return node->key() == name; });
            if (it == children.end())
                return errorAt(value, ResultCode::SettingsUnknownKey, path + name, "a known key");
            (*it)->isSet = true;
            if (auto error = loadNode(**it, value, path + name))
                return error;
        }
        return checkRequired(section, table, path);
    }

private:
    std::optional<Error> loadNode(Node &node, const toml::node &value, const std::string &path)
    {
        switch (node.type()) {
        case NodeType::Section:
            if (!value.is_table())
                return errorAt(value, ResultCode::SettingsWrongType, path, "a table");
            return load(static_cast<Section &>(node), *value.as_table(), path + ".");
        case NodeType::Text:
            return loadText(static_cast<TextNode &>(node), value, path);
        case NodeType::Integer:
            return loadInteger(static_cast<IntegerNode &>(node), value, path);
        case NodeType::Number:
            return loadNumber(static_cast<NumberNode &>(node), value, path);
        case NodeType::TextList:
            return loadList(static_cast<TextListNode &>(node), value, path);
        }
        return std::nullopt;
    }

    std::optional<Error> loadText(TextNode &node, const toml::node &value, const std::string &path)
    {
        if (!value.is_string())
            return errorAt(value, ResultCode::SettingsWrongType, path, describe(node.format));
        node.value = value.as_string()->get();
        if (!matches(node.format, node.value))
            return errorAt(value, ResultCode::SettingsOutOfRange, path, describe(node.format));
        return std::nullopt;
    }

    std::optional<Error> loadInteger(IntegerNode &node, const toml::node &value,
                                     const std::string &path)
    {
        const auto range = "an integer from " + std::to_string(node.minimum) + " to "
            + std::to_string(node.maximum);
        if (!value.is_integer())
            return errorAt(value, ResultCode::SettingsWrongType, path, range);
        node.value = value.as_integer()->get();
        if (node.value < node.minimum || node.value > node.maximum)
            return errorAt(value, ResultCode::SettingsOutOfRange, path, range);
        return std::nullopt;
    }

    std::optional<Error> loadNumber(NumberNode &node, const toml::node &value,
                                    const std::string &path)
    {
        const auto range =
            "a number from " + std::to_string(node.minimum) + " to " + std::to_string(node.maximum);
        const auto n = value.value<double>();
        if (!value.is_number() || !n)
            return errorAt(value, ResultCode::SettingsWrongType, path, range);
        node.value = *n;
        if (!(node.value >= node.minimum && node.value <= node.maximum))
            return errorAt(value, ResultCode::SettingsOutOfRange, path, range);
        return std::nullopt;
    }

    std::optional<Error> loadList(TextListNode &node, const toml::node &value,
                                  const std::string &path)
    {
        const std::string expected = std::string("a list, each ") + describe(node.format);
        if (!value.is_array())
            return errorAt(value, ResultCode::SettingsWrongType, path, expected);
        for (const auto &it : *value.as_array()) {
            if (!it.is_string())
                return errorAt(it, ResultCode::SettingsWrongType, path, expected);
            node.value.push_back(it.as_string()->get());
            if (!matches(node.format, node.value.back()))
                return errorAt(it, ResultCode::SettingsOutOfRange, path, expected);
        }
        return std::nullopt;
    }

    // Checks that the file contains all required keys, also those in sections that it omits.
    std::optional<Error> checkRequired(const Section &section, const toml::table &table,
                                       const std::string &path)
    {
        for (const auto *it : section.children()) {
            if (it->type() == NodeType::Text && !it->isSet) {
                const auto &node = static_cast<const TextNode &>(*it);
                if (node.presence == Presence::Required) {
                    return errorAt(table, ResultCode::SettingsMissing, path + it->key(),
                                   describe(node.format));
                }
            }
            if (it->type() == NodeType::Section && !it->isSet) {
                if (auto error = checkRequired(static_cast<const Section &>(*it), table,
                                               path + it->key() + "."))
                    return error;
            }
        }
        return std::nullopt;
    }

    Error errorAt(const toml::node &node, ResultCode code, const std::string &key,
                  const std::string &expected) const
    {
        const auto line = node.source().begin.line;
        return {code,
                m_file + ":" + std::to_string(line) + ": key '" + key + "': expected " + expected};
    }

    std::string m_file;
};

} // namespace

Node::Node(Section *parent, std::string key, NodeType type) : m_key(std::move(key)), m_type(type)
{
    if (parent != nullptr)
        parent->m_children.push_back(this);
}

namespace {

// Checks values that depend on other keys or on names defined elsewhere.
std::optional<Error> checkDependencies(const Settings &settings, const std::string &file)
{
    const auto watch = settings.platform.watchMs.value;
    if (settings.peers.confirmationMs.value < 2 * watch) {
        return Error{ResultCode::SettingsOutOfRange,
                     file
                         + ": key 'peers.confirmation_ms': expected at least twice "
                           "platform.watch_ms, which is "
                         + std::to_string(watch)};
    }
    if (!core::valueIn(logging::levelNames, settings.log.level.value)) {
        return Error{ResultCode::SettingsOutOfRange,
                     file + ": key 'log.level': expected debug, info, warning or error"};
    }
    return std::nullopt;
}

} // namespace

bool isAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::string ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    unsigned port = 0;
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, port);
    constexpr unsigned highestPort = 65535;
    if (result.ec != std::errc() || result.ptr != end || port == 0 || port > highestPort)
        return false;
    unsigned char buf[sizeof(in6_addr)];
    return inet_pton(AF_INET, ip.c_str(), buf) == 1 || inet_pton(AF_INET6, ip.c_str(), buf) == 1;
}

core::Result<std::shared_ptr<const Settings>> loadSettings(const std::string &path)
{
    auto settings = std::make_shared<Settings>();
    try {
        const toml::table table = toml::parse_file(path);
        if (auto error = Loader(path).load(*settings, table, ""))
            return *error;
        if (auto error = checkDependencies(*settings, path))
            return *error;
    } catch (const toml::parse_error &e) {
        const auto line = e.source().begin.line;
        // toml++ reports line 0 if the file cannot be opened.
        const auto code = line == 0 ? ResultCode::SettingsUnreadable : ResultCode::SettingsSyntax;
        return Error{code, path + ":" + std::to_string(line) + ": " + std::string(e.description())};
    }
    return std::shared_ptr<const Settings>(std::move(settings));
}

} // namespace goldcrestline::adapters::settings
