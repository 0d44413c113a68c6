#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lovagebeam::base {

/// A point on the monotonic clock. Decision modules receive it from outside and never read a clock.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::nanoseconds;

/// A point on the wall clock, in milliseconds since 1970. Only for records that people read and
/// for expiry dates that outlive the process.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// A string identifier. `Tag` makes identifiers of different kinds distinct types.
template <class Tag>
class string_id {
public:
    string_id() = default;
    explicit string_id(std::string value) : m_value{std::move(value)} {}

    [[nodiscard]] const std::string& str() const { return m_value; }
    [[nodiscard]] bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const string_id&, const string_id&) = default;

    template <class H>
    // NOLINTNEXTLINE(readability-identifier-naming): the name is fixed by Abseil.
    friend H AbslHashValue(H state, const string_id& id)
    {
        return H::combine(std::move(state), id.m_value);
    }

    friend std::ostream& operator<<(std::ostream& out, const string_id& id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

/// A number of one kind, such as an epoch or a byte count. `Tag` makes each kind a distinct type.
template <class Tag, class Number = std::uint64_t>
class strong_number {
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(Number value) : m_value{value} {}

    [[nodiscard]] constexpr Number value() const { return m_value; }
    [[nodiscard]] constexpr strong_number next() const
    {
        return strong_number{static_cast<Number>(m_value + 1)};
    }

    constexpr strong_number& operator+=(strong_number other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr strong_number& operator-=(strong_number other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr strong_number operator+(strong_number left, strong_number right)
    {
        return left += right;
    }
    friend constexpr strong_number operator-(strong_number left, strong_number right)
    {
        return left -= right;
    }
    friend constexpr auto operator<=>(const strong_number&, const strong_number&) = default;

    template <class H>
    // NOLINTNEXTLINE(readability-identifier-naming): the name is fixed by Abseil.
    friend H AbslHashValue(H state, const strong_number& number)
    {
        return H::combine(std::move(state), number.m_value);
    }

    friend std::ostream& operator<<(std::ostream& out, const strong_number& number)
    {
        return out << number.m_value;
    }

private:
    Number m_value{};
};

using node_id = string_id<struct node_id_tag>;
using target_id = string_id<struct target_id_tag>;
using worker_id = string_id<struct worker_id_tag>;
using team_id = string_id<struct team_id_tag>;
using key_id = string_id<struct key_id_tag>;
using job_id = string_id<struct job_id_tag>;
using task_id = string_id<struct task_id_tag>;
using attempt_id = string_id<struct attempt_id_tag>;
using idempotency_key = string_id<struct idempotency_key_tag>;
using work_key = string_id<struct work_key_tag>;
using operation_id = string_id<struct operation_id_tag>;
using failure_domain = string_id<struct failure_domain_tag>;

using epoch = strong_number<struct epoch_tag>;
using config_version = strong_number<struct config_version_tag>;
using bytes = strong_number<struct bytes_tag, std::int64_t>;
using millicores = strong_number<struct millicores_tag, std::int64_t>;

} // namespace lovagebeam::base

template <class Tag>
struct std::hash<lovagebeam::base::string_id<Tag>> {
    std::size_t operator()(const lovagebeam::base::string_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};

template <class Tag, class Number>
struct std::hash<lovagebeam::base::strong_number<Tag, Number>> {
    std::size_t
    operator()(const lovagebeam::base::strong_number<Tag, Number>& number) const noexcept
    {
        return std::hash<Number>{}(number.value());
    }
};
