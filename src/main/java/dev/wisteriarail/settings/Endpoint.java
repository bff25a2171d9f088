package dev.wisteriarail.settings;

/**
 * The address that a server listens on.
 *
 * @param host IP address
 * @param port port; 0 for any free port
 */
public record Endpoint(String host, int port) {}
