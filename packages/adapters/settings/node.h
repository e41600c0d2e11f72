#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

// Typed nodes of which a tree of settings is made; each holds its default.
namespace goldcrestline::adapters::settings {

enum class NodeType { Section, Text, Integer, Number, TextList };

class Section;

// A node under a section. Not thread-safe while it is being loaded.
class Node
{
public:
    Node(Section *parent, std::string key, NodeType type);
    virtual ~Node() = default;
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    const std::string &key() const { return m_key; }
    NodeType type() const { return m_type; }

    // Set by the loader when the file holds the key.
    bool given = false;

private:
    std::string m_key;
    NodeType m_type;
};

// A table of nodes.
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
enum class TextForm { Any, Name, Address };

class TextNode : public Node
{
public:
    TextNode(Section *parent, std::string key, std::string value, Presence presence,
             TextForm form = TextForm::Any)
        : Node(parent, std::move(key), NodeType::Text), value(std::move(value)), presence(presence),
          form(form)
    { }

    std::string value;
    const Presence presence;
    const TextForm form;
};

class IntegerNode : public Node
{
public:
    IntegerNode(Section *parent, std::string key, std::int64_t value, std::int64_t low,
                std::int64_t high)
        : Node(parent, std::move(key), NodeType::Integer), value(value), low(low), high(high)
    { }

    // Returns the value as milliseconds. Precondition: the key ends in "_ms".
    core::Millis millis() const { return core::Millis(value); }

    std::int64_t value;
    const std::int64_t low;
    const std::int64_t high;
};

class NumberNode : public Node
{
public:
    NumberNode(Section *parent, std::string key, double value, double low, double high)
        : Node(parent, std::move(key), NodeType::Number), value(value), low(low), high(high)
    { }

    double value;
    const double low;
    const double high;
};

class TextListNode : public Node
{
public:
    TextListNode(Section *parent, std::string key, TextForm form)
        : Node(parent, std::move(key), NodeType::TextList), form(form)
    { }

    std::vector<std::string> value;
    const TextForm form;
};

} // namespace goldcrestline::adapters::settings
