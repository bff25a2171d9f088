package dev.wisteriarail.core.tenant;

/**
 * What a node has admitted and refused for one tenant since it started.
 *
 * @param tenant the tenant's name
 * @param admitted cost of the admitted requests, less what was returned
 * @param refused cost of the refused requests
 * @param share the node's share of the allowance
 */
public record TenantCount(String tenant, double admitted, double refused, double share) {}
