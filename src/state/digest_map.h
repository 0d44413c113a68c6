#pragma once

#include "convert.h"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace lovagebeam::state {

inline std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

/// Returns the hash of a message's bytes. `seed` separates the kinds of records.
template <class Message>
std::uint64_t hash_message(const Message& message, std::uint64_t seed)
{
    thread_local std::string buffer;
    buffer.clear();
    message.AppendToString(&buffer);
    return hash_bytes(buffer, seed);
}

/// An ordered map that keeps the sum of its records' hashes, so that a change costs one hash of one
/// record. Addition makes the sum independent of the order of the changes. `Value` needs a
/// `to_proto`, and the message must contain the key.
template <class Key, class Value>
class digest_map {
public:
    struct slot {
        Value value;
        std::uint64_t hash = 0;
    };

    explicit digest_map(std::uint64_t seed) : m_seed{seed} {}

    [[nodiscard]] const Value* find(const Key& key) const
    {
        const auto found = m_slots.find(key);
        return found == m_slots.end() ? nullptr : &found->second.value;
    }

    /// Adds the record or replaces it.
    const Value& put(const Key& key, Value value)
    {
        const std::uint64_t hash = hash_message(to_proto(value), m_seed);
        slot& place = m_slots[key];
        m_sum += hash - place.hash;
        place.hash = hash;
        place.value = std::move(value);
        return place.value;
    }

    bool erase(const Key& key)
    {
        const auto found = m_slots.find(key);
        if (found == m_slots.end()) {
            return false;
        }
        m_sum -= found->second.hash;
        m_slots.erase(found);
        return true;
    }

    [[nodiscard]] std::size_t size() const { return m_slots.size(); }
    [[nodiscard]] std::uint64_t sum() const { return m_sum; }
    [[nodiscard]] const std::map<Key, slot>& slots() const { return m_slots; }

private:
    std::uint64_t m_seed;
    std::uint64_t m_sum = 0;
    std::map<Key, slot> m_slots;
};

} // namespace lovagebeam::state
