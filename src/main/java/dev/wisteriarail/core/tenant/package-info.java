/** Tenants: who a caller is, and how much of its allowance a tenant has used over all nodes. */
package dev.wisteriarail.core.tenant;
