#include "lovagebeam/state/keys.h"

#include "lovagebeam/base/errors.h"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace lovagebeam::state {
namespace {

using base::error_code;
using base::make_error;

constexpr std::string_view key_prefix = "lb.";
constexpr std::size_t id_size = 8;
constexpr std::size_t secret_size = 32;
constexpr std::size_t salt_size = 32;
constexpr std::size_t hash_size = 32;

using secret_array = std::array<unsigned char, secret_size>;
using hash_array = std::array<unsigned char, hash_size>;

// sodium_init picks the implementations and is safe to call again from any thread.
void ensure_sodium()
{
    static const bool is_ready = sodium_init() >= 0;
    if (!is_ready) {
        std::terminate();
    }
}

const unsigned char* unsigned_data(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string random_bytes(std::size_t size)
{
    std::string text(size, '\0');
    randombytes_buf(text.data(), text.size());
    return text;
}

std::string to_hex(std::string_view bytes)
{
    std::string text(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), unsigned_data(bytes), bytes.size());
    text.pop_back();
    return text;
}

hash_array hash_of(std::string_view secret, std::string_view salt)
{
    hash_array hash{};
    crypto_generichash(hash.data(), hash.size(), unsigned_data(secret), secret.size(),
                       unsigned_data(salt),
                       std::min<std::size_t>(salt.size(), crypto_generichash_KEYBYTES_MAX));
    return hash;
}

struct parsed_key {
    base::key_id id;
    secret_array secret{};
};

std::optional<parsed_key> parse_key(std::string_view text)
{
    if (!text.starts_with(key_prefix)) {
        return std::nullopt;
    }
    text.remove_prefix(key_prefix.size());
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0 || text.size() - dot - 1 != 2 * secret_size) {
        return std::nullopt;
    }
    parsed_key key{base::key_id{std::string{text.substr(0, dot)}}, {}};
    const std::string_view hex = text.substr(dot + 1);
    std::size_t written = 0;
    const char* end = nullptr;
    const int failed = sodium_hex2bin(key.secret.data(), key.secret.size(), hex.data(), hex.size(),
                                      nullptr, &written, &end);
    if (failed != 0 || written != secret_size || end != hex.data() + hex.size()) {
        return std::nullopt;
    }
    return key;
}

/// The key of the encryption, derived from a cluster secret of any length.
std::array<unsigned char, crypto_secretbox_KEYBYTES>
derive_encryption_key(std::string_view cluster_secret)
{
    constexpr std::string_view purpose = "lovagebeam sealed team key";
    std::array<unsigned char, crypto_secretbox_KEYBYTES> key{};
    crypto_generichash_state state{};
    crypto_generichash_init(&state, nullptr, 0, key.size());
    crypto_generichash_update(&state, unsigned_data(purpose), purpose.size());
    crypto_generichash_update(&state, unsigned_data(cluster_secret), cluster_secret.size());
    crypto_generichash_final(&state, key.data(), key.size());
    return key;
}

absl::Status invalid_key_error()
{
    return make_error(error_code::unauthenticated, "the team key is not valid");
}

} // namespace

new_key generate_key()
{
    ensure_sodium();
    const std::string secret = random_bytes(secret_size);
    new_key key;
    key.id = base::key_id{to_hex(random_bytes(id_size))};
    key.text = std::string{key_prefix} + key.id.str() + "." + to_hex(secret);
    key.salt = random_bytes(salt_size);
    const hash_array hash = hash_of(secret, key.salt);
    key.hash.assign(hash.begin(), hash.end());
    return key;
}

std::string seal_key(std::string_view cluster_secret, std::string_view text)
{
    ensure_sodium();
    const auto key = derive_encryption_key(cluster_secret);
    std::string sealed = random_bytes(crypto_secretbox_NONCEBYTES);
    const std::string nonce = sealed;
    std::string ciphertext(crypto_secretbox_MACBYTES + text.size(), '\0');
    crypto_secretbox_easy(reinterpret_cast<unsigned char*>(ciphertext.data()), unsigned_data(text),
                          text.size(), unsigned_data(nonce), key.data());
    return sealed += ciphertext;
}

absl::StatusOr<std::string> open_key(std::string_view cluster_secret, std::string_view sealed)
{
    ensure_sodium();
    constexpr std::size_t overhead = crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES;
    if (sealed.size() < overhead) {
        return make_error(error_code::unauthenticated, "the sealed key is too short");
    }
    const auto key = derive_encryption_key(cluster_secret);
    const std::string_view ciphertext = sealed.substr(crypto_secretbox_NONCEBYTES);
    std::string text(sealed.size() - overhead, '\0');
    if (crypto_secretbox_open_easy(reinterpret_cast<unsigned char*>(text.data()),
                                   unsigned_data(ciphertext), ciphertext.size(),
                                   unsigned_data(sealed), key.data()) != 0) {
        return make_error(error_code::unauthenticated, "the sealed key can't be opened");
    }
    return text;
}

key_verifier::key_verifier(const cell_state& cell, base::duration max_age)
    : m_cell{cell}, m_max_age{max_age}
{
    ensure_sodium();
}

void key_verifier::confirm(base::time_point at)
{
    if (!m_confirmed || at > *m_confirmed) {
        m_confirmed = at;
    }
}

absl::StatusOr<base::team_id> key_verifier::verify(base::time_point now,
                                                   std::string_view text) const
{
    if (!m_confirmed || now - *m_confirmed > m_max_age) {
        return make_error(error_code::stale_key_state,
                          "the keys were not confirmed by the leader for too long");
    }
    const auto key = parse_key(text);
    if (!key) {
        return invalid_key_error();
    }
    // An unknown key costs a hash as well, so that the time doesn't tell which ids exist.
    static const std::string no_salt(salt_size, '\0');
    const team_key* const stored = m_cell.find_key(key->id);
    const std::string_view secret{reinterpret_cast<const char*>(key->secret.data()),
                                  key->secret.size()};
    const hash_array hash = hash_of(secret, stored == nullptr ? no_salt : stored->salt);
    if (stored == nullptr || stored->hash.size() != hash.size() ||
        sodium_memcmp(hash.data(), stored->hash.data(), hash.size()) != 0) {
        return invalid_key_error();
    }
    return stored->team;
}

absl::Status key_verifier::verify_team(base::time_point now, std::string_view text,
                                       const base::team_id& team) const
{
    const auto owner = verify(now, text);
    if (!owner.ok()) {
        return owner.status();
    }
    return *owner == team ? absl::OkStatus() : invalid_key_error();
}

std::optional<base::key_id> key_verifier::id_of(std::string_view text)
{
    auto key = parse_key(text);
    return key ? std::optional{key->id} : std::nullopt;
}

} // namespace lovagebeam::state
