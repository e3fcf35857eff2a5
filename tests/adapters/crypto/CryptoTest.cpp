#include "adapters/crypto/Digest.h"
#include "adapters/crypto/Ed25519.h"
#include "adapters/crypto/Hex.h"

#include <catch2/catch.hpp>

using namespace teaselturn;

namespace {

template <std::size_t size>
std::array<std::uint8_t, size> fromHex(std::string_view text)
{
    std::array<std::uint8_t, size> bytes {};
    REQUIRE(decodeHex(text, bytes));
    return bytes;
}

std::span<const std::uint8_t> asBytes(std::string_view text)
{
    return { reinterpret_cast<const std::uint8_t*>(text.data()), text.size() };
}

}

TEST_CASE("decodeHex rejects wrong lengths and characters that are not hexadecimal digits")
{
    std::array<std::uint8_t, 2> bytes {};
    CHECK(decodeHex("0aFf", bytes));
    CHECK(encodeHex(bytes) == "0aff");
    for (const auto* text : { "", "0af", "0aff0", "0afg", " aff", "0x0a" }) {
        CHECK_FALSE(decodeHex(text, bytes));
    }
}

TEST_CASE("SHA-256 and HMAC-SHA256 match the published test vectors")
{
    CHECK(encodeHex(sha256("abc")) == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    // RFC 4231, test case 2.
    const HmacSha256 hmac { asBytes("Jefe") };
    const auto code = hmac.compute(asBytes("what do ya want for nothing?"));
    CHECK(encodeHex(code) == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    CHECK(hmac.compute(asBytes("what do ya want "), asBytes("for nothing?")) == code);
    CHECK(hmac.matches(code, asBytes("what do ya want for nothing?")));
    CHECK_FALSE(hmac.matches(code, asBytes("what do ya want for nothing!")));
    CHECK_FALSE(hmac.matches(std::span { code }.first(31), asBytes("what do ya want for nothing?")));
}

TEST_CASE("Ed25519 matches the test vector of RFC 8032")
{
    // RFC 8032, section 7.1, test 1 (empty message).
    const auto pair = ed25519FromPrivate(fromHex<32>("9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60"));
    CHECK(encodeHex(pair.publicKey) == "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a");
    const auto signature = signEd25519(pair.privateKey, "");
    CHECK(encodeHex(signature) == "e5564300c360ac729086e2cc806e828a84877f1eb8e5d974d873e065224901555fb8821590a33bacc61e39701cf9b46bd25bf5f0595bbe24655141438e7a100b");
    const OpenSslVerifier verifier;
    CHECK(verifier.verify(pair.publicKey, "", signature));
    CHECK_FALSE(verifier.verify(pair.publicKey, "x", signature));
    auto damaged = signature;
    damaged[10] ^= 1U;
    CHECK_FALSE(verifier.verify(pair.publicKey, "", damaged));
    CHECK_FALSE(verifier.verify(generateEd25519().publicKey, "", signature));
}

TEST_CASE("generated key pairs are distinct and their signatures verify")
{
    const auto first = generateEd25519();
    const auto second = generateEd25519();
    CHECK(first.privateKey != second.privateKey);
    CHECK(ed25519FromPrivate(first.privateKey).publicKey == first.publicKey);
    CHECK(OpenSslVerifier {}.verify(first.publicKey, "bundle", signEd25519(first.privateKey, "bundle")));
}
