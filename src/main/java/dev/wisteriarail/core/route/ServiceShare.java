package dev.wisteriarail.core.route;

/**
 * A service to which a route sends a share of its requests.
 *
 * @param service the service's name
 * @param weight its share of the requests, relative to the weights of the other services
 */
public record ServiceShare(String service, int weight) {}
