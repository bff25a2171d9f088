package dev.wisteriarail.peer;

import java.util.Optional;

/**
 * Paths of the PEM files for TLS between nodes.
 *
 * @param key the node's private key, unencrypted PKCS #8
 * @param certificate the node's certificate, followed by any intermediate certificates
 * @param trust certificates of the authorities that sign the peers' certificates
 * @param sharedName name that a node's certificate may contain instead of the node's own name
 */
public record TlsFiles(String key, String certificate, String trust, Optional<String> sharedName) {}
