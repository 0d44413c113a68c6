#include "lovagebeam/targets/protocol.h"

namespace lovagebeam::targets {
namespace {

bool is_unreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view{"-._~"}.find(c) != std::string_view::npos;
}

std::optional<unsigned> hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return static_cast<unsigned>(c - '0');
    }
    if (c >= 'a' && c <= 'f') {
        return static_cast<unsigned>(c - 'a') + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return static_cast<unsigned>(c - 'A') + 10;
    }
    return std::nullopt;
}

} // namespace

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    result.reserve(text.size());
    for (const char c : text) {
        if (is_unreserved(c)) {
            result += c;
            continue;
        }
        const auto value = static_cast<unsigned char>(c);
        result += '%';
        result += digits[value >> 4U];
        result += digits[value & 0xfU];
    }
    return result;
}

std::optional<std::string> percent_decode(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i];
            continue;
        }
        if (i + 2 >= text.size()) {
            return std::nullopt;
        }
        const auto high = hex_value(text[i + 1]);
        const auto low = hex_value(text[i + 2]);
        if (!high || !low) {
            return std::nullopt;
        }
        result += static_cast<char>(*high << 4U | *low);
        i += 2;
    }
    return result;
}

} // namespace lovagebeam::targets
