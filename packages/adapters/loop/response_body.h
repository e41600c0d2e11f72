#pragma once

#include "ports/exchange.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace goldcrestline::adapters::loop {

// Body type of Boost.Beast for a response that is either kept as text or given to a reader in
// passing.
struct ResponseBody
{
    struct Content
    {
        std::string text;
        // Receives the body of a success in place of `text`; other bodies are dropped. Null: the
        // body is kept.
        ports::BodyReader *bodyReader = nullptr;
    };

    static std::uint64_t size(const Content &body) { return body.text.size(); }

    class Reader
    {
    public:
        template <bool isRequest, class Fields>
        Reader(boost::beast::http::header<isRequest, Fields> &header, Content &body)
            : m_body(body), m_status([&header] { return header.result_int(); })
        { }

        // The length is within the limit of the parser.
        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &ec)
        {
            ec = {};
            if (length && m_body.bodyReader == nullptr)
                m_body.text.reserve(static_cast<std::size_t>(*length));
        }

        template <class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &ec)
        {
            ec = {};
            std::size_t n = 0;
            for (const auto it : boost::beast::buffers_range_ref(buffers)) {
                const std::string_view bytes(static_cast<const char *>(it.data()), it.size());
                n += bytes.size();
                if (!take(bytes)) {
                    ec = boost::beast::http::error::bad_value;
                    return n;
                }
            }
            return n;
        }

        void finish(boost::system::error_code &ec) { ec = {}; }

    private:
        bool take(std::string_view bytes)
        {
            constexpr unsigned lowestSuccess = 200;
            constexpr unsigned lowestRedirect = 300;
            if (m_body.bodyReader == nullptr) {
                append(bytes);
                return true;
            }
            const auto status = m_status();
            const bool success = status >= lowestSuccess && status < lowestRedirect;
            return !success || m_body.bodyReader->read(bytes);
        }

        // Grows a long text by steps, so that it takes little more memory than its bytes.
        void append(std::string_view bytes)
        {
            constexpr std::size_t maxStepBytes = 1 << 20;
            auto &text = m_body.text;
            const auto needed = text.size() + bytes.size();
            if (needed > text.capacity())
                text.reserve(needed + std::min(text.size(), maxStepBytes));
            text += bytes;
        }

        Content &m_body;
        std::function<unsigned()> m_status;
    };

    // The names that Boost.Beast asks for.
    using value_type = Content;
    using reader = Reader;
};

} // namespace goldcrestline::adapters::loop
