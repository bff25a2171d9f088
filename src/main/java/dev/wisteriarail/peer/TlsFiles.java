package dev.wisteriarail.peer;

import java.util.Optional;

/**
 * PEM files for TLS between nodes.
 *
 * @param key path of the node's private key, unencrypted PKCS #8
 * @param certificate path of the node's certificate, followed by those between it and the trusted
 * @param trust path of the certificates that sign the peers' ones
 * @param sharedName name that every node's certificate may hold in place of the node's own
 */
public record TlsFiles(String key, String certificate, String trust, Optional<String> sharedName) {}
