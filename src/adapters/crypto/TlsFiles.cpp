#include "adapters/crypto/TlsFiles.h"

#include <memory>
#include <openssl/err.h>
#include <openssl/ssl.h>

namespace teaselturn {

std::optional<TlsFault> findTlsFault(const std::filesystem::path& certificate, const std::filesystem::path& key)
{
    const std::unique_ptr<SSL_CTX, void (*)(SSL_CTX*)> context { SSL_CTX_new(TLS_server_method()), SSL_CTX_free };
    std::optional<TlsFault> fault;
    if (!context || SSL_CTX_use_certificate_chain_file(context.get(), certificate.c_str()) != 1) {
        fault = { true, certificate.string() + ", which is no readable certificate chain", "a PEM file" };
    } else if (SSL_CTX_use_PrivateKey_file(context.get(), key.c_str(), SSL_FILETYPE_PEM) != 1) {
        fault = { false, key.string() + ", which is no readable key of the certificate", "a PEM file with the certificate's private key" };
    }
    // OpenSSL's error queue is per thread: later TLS calls of this thread would report errors left in it.
    ERR_clear_error();
    return fault;
}

}
