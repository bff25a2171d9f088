package dev.wisteriarail.core.tenant;

/**
 * Why a configuration of tenants is invalid. It contains no API key.
 *
 * @param tenant name of the tenant; empty if the fault concerns no single one
 * @param reason what is wrong
 */
public record TenantFault(String tenant, String reason) {}
