package dev.wisteriarail.settings;

/**
 * Where a server listens.
 *
 * @param host IP number
 * @param port port; 0 for any free one
 */
public record Endpoint(String host, int port) {}
