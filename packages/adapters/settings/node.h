#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

// Typed nodes of a settings tree. Each node holds its default until a value is loaded.
namespace goldcrestline::adapters::settings {

enum class NodeType { Section, Text, Integer, Number, TextList };

class Section;

// Base of all nodes. Registers itself with its parent section. Not thread-safe during loading.
class Node
{
public:
    Node(Section *parent, std::string key, NodeType type);
    virtual ~Node() = default;
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    const std::string &key() const { return m_key; }
    NodeType type() const { return m_type; }

    // Set by the loader if the file contains the key.
    bool isSet = false;

private:
    std::string m_key;
    NodeType m_type;
};

// A table with child nodes.
class Section : public Node
{
public:
    Section(Section *parent, std::string key) : Node(parent, std::move(key), NodeType::Section) { }

    const std::vector<Node *> &children() const { return m_children; }

private:
    friend class Node;
    std::vector<Node *> m_children;
};

enum class Presence { Optional, Required };
enum class TextFormat { Any, Name, Address };

class TextNode : public Node
{
public:
    TextNode(Section *parent, std::string key, std::string value, Presence presence,
             TextFormat format = TextFormat::Any)
        : Node(parent, std::move(key), NodeType::Text), value(std::move(value)), presence(presence),
          format(format)
    { }

    std::string value;
    const Presence presence;
    const TextFormat format;
};

class IntegerNode : public Node
{
public:
    IntegerNode(Section *parent, std::string key, std::int64_t value, std::int64_t minimum,
                std::int64_t maximum)
        : Node(parent, std::move(key), NodeType::Integer), value(value), minimum(minimum),
          maximum(maximum)
    { }

    // Returns the value as a duration. Precondition: the value is in milliseconds, with a key that
    // ends in "_ms".
    core::Millis millis() const { return core::Millis(value); }

    std::int64_t value;
    const std::int64_t minimum;
    const std::int64_t maximum;
};

class NumberNode : public Node
{
public:
    NumberNode(Section *parent, std::string key, double value, double minimum, double maximum)
        : Node(parent, std::move(key), NodeType::Number), value(value), minimum(minimum),
          maximum(maximum)
    { }

    double value;
    const double minimum;
    const double maximum;
};

class TextListNode : public Node
{
public:
    TextListNode(Section *parent, std::string key, TextFormat format)
        : Node(parent, std::move(key), NodeType::TextList), format(format)
    { }

    std::vector<std::string> value;
    const TextFormat format;
};

} // namespace goldcrestline::adapters::settings
