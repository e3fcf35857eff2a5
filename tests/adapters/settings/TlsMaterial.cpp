#include "adapters/settings/TlsMaterial.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>
#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

namespace teaselturn {

namespace {

    using File = std::unique_ptr<std::FILE, int (*)(std::FILE*)>;

    File openFile(const std::filesystem::path& path)
    {
        File file { std::fopen(path.c_str(), "w"), std::fclose };
        REQUIRE(file);
        return file;
    }

}

void writeTlsMaterial(const std::filesystem::path& certificate, const std::filesystem::path& key)
{
    constexpr long validSeconds = 3'600;
    const std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY*)> keyPair { EVP_EC_gen("P-256"), EVP_PKEY_free };
    const std::unique_ptr<X509, void (*)(X509*)> x509Certificate { X509_new(), X509_free };
    REQUIRE(keyPair);
    REQUIRE(x509Certificate);
    X509_gmtime_adj(X509_getm_notBefore(x509Certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(x509Certificate.get()), validSeconds);
    REQUIRE(X509_set_version(x509Certificate.get(), X509_VERSION_3) == 1);
    REQUIRE(ASN1_INTEGER_set(X509_get_serialNumber(x509Certificate.get()), 1) == 1);
    auto* name = X509_get_subject_name(x509Certificate.get());
    const auto* commonName = reinterpret_cast<const unsigned char*>("teaselturn test");
    REQUIRE(X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, commonName, -1, -1, 0) == 1);
    REQUIRE(X509_set_issuer_name(x509Certificate.get(), name) == 1);
    const std::unique_ptr<X509_EXTENSION, void (*)(X509_EXTENSION*)> addresses { X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1"), X509_EXTENSION_free };
    REQUIRE(addresses);
    REQUIRE(X509_add_ext(x509Certificate.get(), addresses.get(), -1) == 1);
    REQUIRE(X509_set_pubkey(x509Certificate.get(), keyPair.get()) == 1);
    REQUIRE(X509_sign(x509Certificate.get(), keyPair.get(), EVP_sha256()) > 0);
    REQUIRE(PEM_write_X509(openFile(certificate).get(), x509Certificate.get()) == 1);
    REQUIRE(PEM_write_PrivateKey(openFile(key).get(), keyPair.get(), nullptr, nullptr, 0, nullptr, nullptr) == 1);
}

}
