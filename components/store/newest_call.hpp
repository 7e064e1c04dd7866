#ifndef COMPONENTS_STORE_NEWEST_CALL_HPP
#define COMPONENTS_STORE_NEWEST_CALL_HPP

#include "components/store/topic.hpp"

#include <string>

namespace store
{

/// Reads the newest record of each key of a keyed topic, a page at a time.
struct NewestCall
{
    Topic m_topic;
    /// The last key of the previous page; empty for the first page.
    std::string m_after;

    bool operator==(const NewestCall &) const = default;
};

}

#endif
