package dev.wisteriarail.core.route;

/**
 * One of the services that a route sends requests to.
 *
 * @param service the service's name
 * @param weight its part of the route's requests, relative to the other shares
 */
public record ServiceShare(String service, int weight) {}
